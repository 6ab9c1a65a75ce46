#include "servers/pool/job_model.h"

#include <array>

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
  throw Error(ErrorKind::kInvalidInput, "'" + name + "' is no state of a job");
}

}  // namespace turmericshift::pool
