#include "servers/pool/job_model.h"

#include <algorithm>
#include <array>
#include <optional>

#include "core/error.h"

namespace turmericshift::pool {
namespace {

struct StateName {
  JobState state;
  const char* name;
};

constexpr std::array<StateName, 5> kStateNames = {{
    {JobState::kQueued, "queued"},
    {JobState::kRunning, "running"},
    {JobState::kCompleted, "completed"},
    {JobState::kFailed, "failed"},
    {JobState::kCancelled, "cancelled"},
}};

}  // namespace

bool Room::Holds(const Room& need) const {
  return processor_millis >= need.processor_millis && memory_mib >= need.memory_mib &&
         accelerators >= need.accelerators;
}

Room& Room::operator+=(const Room& other) {
  processor_millis += other.processor_millis;
  memory_mib += other.memory_mib;
  accelerators += other.accelerators;
  return *this;
}

Room& Room::operator-=(const Room& other) {
  processor_millis -= other.processor_millis;
  memory_mib -= other.memory_mib;
  accelerators -= other.accelerators;
  return *this;
}

const char* JobStateName(JobState state) {
  for (const StateName& row : kStateNames) {
    if (row.state == state) return row.name;
  }
  return "";
}

JobState JobStateFromName(const std::string& name) {
  for (const StateName& row : kStateNames) {
    if (name == row.name) return row.state;
  }
  throw Error(ErrorKind::kInvalidInput, "'" + name + "' is not a job state");
}

int64_t TotalTasks(const JobSpec& spec) {
  int64_t tasks = 0;
  for (const StepSpec& step : spec.steps) tasks += step.tasks;
  return tasks;
}

int64_t TotalAccelerators(const JobSpec& spec) {
  int64_t accelerators = 0;
  for (const StepSpec& step : spec.steps) accelerators += step.tasks * step.need.accelerators;
  return accelerators;
}

Room PeakNeed(const JobSpec& spec) {
  Room widest;
  for (const StepSpec& step : spec.steps) {
    const Room& need = step.need;
    widest = {std::max(widest.processor_millis, need.processor_millis * step.tasks),
              std::max(widest.memory_mib, need.memory_mib * step.tasks),
              std::max(widest.accelerators, need.accelerators * step.tasks)};
  }
  return widest;
}

Duration EstimatedCriticalPath(const JobSpec& spec) {
  return CriticalPath(spec, [](const StepSpec& step) { return step.estimate; });
}

Duration CriticalPath(const JobSpec& spec,
                      const std::function<Duration(const StepSpec& step)>& time_of) {
  std::vector<Duration> ends;
  Duration longest{};
  for (const StepSpec& step : spec.steps) {
    Duration begin{};
    for (const int earlier : step.after) {
      begin = std::max(begin, ends[static_cast<size_t>(earlier)]);
    }
    ends.push_back(begin + time_of(step));
    longest = std::max(longest, ends.back());
  }
  return longest;
}

Duration CriticalPathFrom(const JobSpec& spec, int step,
                          const std::function<Duration(const StepSpec& step)>& time_of) {
  // End of each step, relative to the start of `step`; empty for steps that do not depend on
  // `step`.
  std::vector<std::optional<Duration>> ends(spec.steps.size());
  Duration longest{};
  for (size_t i = static_cast<size_t>(step); i < spec.steps.size(); ++i) {
    std::optional<Duration> begin;
    if (i == static_cast<size_t>(step)) begin = Duration::zero();
    for (const int earlier : spec.steps[i].after) {
      const std::optional<Duration>& end = ends[static_cast<size_t>(earlier)];
      if (end) begin = std::max(begin.value_or(*end), *end);
    }
    if (!begin) continue;
    ends[i] = *begin + time_of(spec.steps[i]);
    longest = std::max(longest, *ends[i]);
  }
  return longest;
}

}  // namespace turmericshift::pool
