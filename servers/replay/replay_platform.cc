#include "servers/replay/replay_platform.h"

#include <algorithm>

#include "core/error.h"

namespace turmericshift {

ReplayPlatform::ReplayPlatform(const Environment& environment, const Trace& trace)
    : fails_after_(trace.fails_after) {
  for (const auto& [name, zone] : environment.zones) {
    for (int index = 0; index < zone.workers; ++index) {
      ReplayWorker worker;
      worker.name = name + "-" + std::to_string(index);
      worker.zone = name;
      worker.rack = name + "-r" + std::to_string(index / zone.workers_per_rack);
      worker.capacity = zone.worker;
      workers_[worker.name] = worker;
    }
  }
}

ReplayWorker& ReplayPlatform::Worker(const std::string& name) {
  const auto found = workers_.find(name);
  if (found != workers_.end()) return found->second;
  throw Error(ErrorKind::kInvalidInput, "the document has no worker '" + name + "'");
}

const ReplayAttempt* ReplayPlatform::Attempt(const AttemptKey& key) const {
  const auto found = attempts_.find(key);
  return found == attempts_.end() ? nullptr : &found->second;
}

std::string ReplayPlatform::StartRefusal(const StartDecision& start, const JobSpec& spec) const {
  if (attempts_.count({start.job, start.attempt}) != 0) return "the attempt was started before";
  for (const TaskOnWorker& task : start.tasks) {
    if (RunsAt(task.worker, start.job)) return "another attempt of the job runs at " + task.worker;
    const auto worker = workers_.find(task.worker);
    if (worker == workers_.end() || !worker->second.up) return task.worker + " is not available";
    if (!HasRoom(worker->second, start, spec)) return "not enough free resources at " + task.worker;
  }
  return "";
}

bool ReplayPlatform::RunsAt(const std::string& worker, const std::string& job) const {
  for (const auto& [key, attempt] : attempts_) {
    if (key.job != job) continue;
    for (const TaskOnWorker& task : attempt.tasks) {
      if (task.worker == worker) return true;
    }
  }
  return false;
}

bool ReplayPlatform::HasRoom(const ReplayWorker& worker, const StartDecision& start,
                             const JobSpec& spec) const {
  TaskShape used;
  uint32_t taken = 0;
  bool twice = false;
  const auto add = [&](const std::vector<TaskOnWorker>& tasks, const TaskShape& shape) {
    for (const TaskOnWorker& task : tasks) {
      if (task.worker != worker.name) continue;
      twice = twice || (taken & task.accelerators) != 0;
      taken |= task.accelerators;
      used.processors += shape.processors;
      used.memory_bytes += shape.memory_bytes;
    }
  };
  for (const auto& [job, attempt] : attempts_) add(attempt.tasks, attempt.spec.shape);
  add(start.tasks, spec.shape);
  const uint64_t present = (uint64_t{1} << worker.capacity.accelerators) - 1;
  return !twice && (taken & ~present) == 0 && used.processors <= worker.capacity.processors &&
         used.memory_bytes <= worker.capacity.memory_bytes;
}

void ReplayPlatform::Start(const std::string& zone, const StartDecision& start,
                           const TracedJob& job, Time now) {
  ReplayAttempt attempt;
  attempt.job = start.job;
  attempt.zone = zone;
  attempt.spec = job.spec;
  attempt.attempt = start.attempt;
  attempt.tasks = start.tasks;
  attempt.borrowed = start.borrowed;
  attempt.started = now;
  attempt.saved = SavedWork(start.job);
  attempt.end_time = now + std::max<Duration>(job.run_time - attempt.saved, Duration::zero());
  attempt.end = job.fails ? AttemptEnd::kFailed : AttemptEnd::kDone;
  for (const TaskOnWorker& task : start.tasks) {
    if (!Worker(task.worker).fails_all) continue;
    attempt.end_time = std::min(attempt.end_time, now + fails_after_);
    attempt.end = AttemptEnd::kFailed;
    attempt.failed_on.push_back(task.worker);
  }
  // A faulty job fails on any worker.
  if (attempt.failed_on.empty() && job.fails) {
    attempt.failed_on.push_back(start.tasks.front().worker);
  }
  run_times_[start.job] = job.run_time;
  attempts_[{start.job, start.attempt}] = attempt;
}

std::vector<ReplayAttempt> ReplayPlatform::LoseWorker(const std::string& worker, Duration lease,
                                                      Time now) {
  std::vector<ReplayAttempt> affected;
  for (auto& [key, attempt] : attempts_) {
    const ReplayAttempt before = attempt;
    std::erase_if(attempt.tasks,
                  [&worker](const TaskOnWorker& task) { return task.worker == worker; });
    if (attempt.tasks.size() == before.tasks.size()) continue;
    affected.push_back(before);
    attempt.end_time = now + lease;
    attempt.end = AttemptEnd::kWorkerLost;
    attempt.saves = false;
  }
  return affected;
}

void ReplayPlatform::StopBy(const AttemptKey& key, Time at, AttemptEnd end, bool saves) {
  const auto found = attempts_.find(key);
  if (found == attempts_.end() || found->second.end_time <= at) return;
  found->second.end_time = at;
  found->second.end = end;
  found->second.saves = saves;
}

std::vector<ReplayAttempt> ReplayPlatform::RemoveEnded(const std::string& zone, Time now) {
  std::vector<ReplayAttempt> ended;
  for (auto next = attempts_.begin(); next != attempts_.end();) {
    const ReplayAttempt& attempt = next->second;
    if (attempt.zone != zone || attempt.end_time > now) {
      ++next;
      continue;
    }
    if (attempt.saves) saved_[attempt.job] = attempt.saved + (attempt.end_time - attempt.started);
    ended.push_back(attempt);
    next = attempts_.erase(next);
  }
  return ended;
}

std::optional<Time> ReplayPlatform::NextEndTime() const {
  std::optional<Time> next;
  for (const auto& [job, attempt] : attempts_) {
    if (!next || attempt.end_time < *next) next = attempt.end_time;
  }
  return next;
}

double ReplayPlatform::ProgressOf(const ReplayAttempt& attempt, Time now) const {
  const double run_time = Seconds(run_times_.at(attempt.job));
  if (run_time <= 0) return 1;
  const Duration ran = std::clamp<Duration>(now - attempt.started, Duration::zero(),
                                            attempt.end_time - attempt.started);
  return std::min(1.0, Seconds(attempt.saved + ran) / run_time);
}

Duration ReplayPlatform::SavedWork(const std::string& job) const {
  const auto found = saved_.find(job);
  return found == saved_.end() ? Duration::zero() : found->second;
}

}  // namespace turmericshift
