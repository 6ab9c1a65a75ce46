#include "servers/pool/job_progress.h"

#include <algorithm>

namespace turmericshift::pool {

int JobProgress::done_count(const StepPlace& place) const {
  const auto found = done.find(place);
  return found == done.end() ? 0 : static_cast<int>(found->second.size());
}

bool JobProgress::task_done(const TaskPlace& place) const {
  const auto found = done.find({place.occurrence, place.step});
  return found != done.end() && found->second.count(place.index) > 0;
}

bool JobProgress::step_done(const JobSpec& spec, const StepPlace& place) const {
  return done_count(place) >= spec.steps[static_cast<size_t>(place.step)].tasks;
}

bool JobProgress::dependencies_done(const JobSpec& spec, const StepPlace& place) const {
  const std::vector<int>& after = spec.steps[static_cast<size_t>(place.step)].after;
  return std::all_of(after.begin(), after.end(), [&](int earlier) {
    return step_done(spec, {place.occurrence, earlier});
  });
}

bool JobProgress::all_done(const JobSpec& spec) const {
  for (int occurrence = 0; occurrence < spec.occurrences(); ++occurrence) {
    for (int step = 0; step < static_cast<int>(spec.steps.size()); ++step) {
      if (!step_done(spec, {occurrence, step})) return false;
    }
  }
  return true;
}

}  // namespace turmericshift::pool
