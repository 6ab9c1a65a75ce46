#include "servers/planner/worker_health.h"

#include <algorithm>

namespace turmericshift {
namespace {

// After this many doublings every quarantine lasts max_quarantine.
constexpr int kMaxDoublings = 20;

}  // namespace

WorkerHealth::WorkerHealth(const WorkerHealthOptions& options) : options_(options) {}

FailureVerdict WorkerHealth::AttemptFailed(const std::string& job,
                                           const std::vector<std::string>& workers,
                                           size_t zone_workers, Time now) {
  Job& known = jobs_[job];
  ++known.failures;
  for (const std::string& worker : workers) {
    known.failed_on.insert(worker);
    Quarantine(worker, zone_workers, now);
  }
  const bool at_fault = known.failed_on.size() >= options_.workers_to_blame_job ||
                        known.failures >= options_.failures_to_blame_job;
  if (!at_fault) return FailureVerdict::kTryElsewhere;
  for (const std::string& worker : known.failed_on) {
    const auto cleared = workers_.find(worker);
    if (cleared == workers_.end()) continue;
    if (--cleared->second.failures_in_row <= 0) workers_.erase(cleared);
  }
  jobs_.erase(job);
  return FailureVerdict::kJobAtFault;
}

void WorkerHealth::AttemptDone(const std::string& job, const std::vector<std::string>& workers) {
  for (const std::string& worker : workers) workers_.erase(worker);
  jobs_.erase(job);
}

void WorkerHealth::ForgetJob(const std::string& job) { jobs_.erase(job); }

void WorkerHealth::ForgetWorker(const std::string& worker) { workers_.erase(worker); }

bool WorkerHealth::IsQuarantined(const std::string& worker, Time now) const {
  const auto found = workers_.find(worker);
  return found != workers_.end() && now < found->second.quarantined_until;
}

size_t WorkerHealth::QuarantinedCount(Time now) const {
  return static_cast<size_t>(
      std::count_if(workers_.begin(), workers_.end(),
                    [now](const auto& entry) { return now < entry.second.quarantined_until; }));
}

void WorkerHealth::Quarantine(const std::string& worker, size_t zone_workers, Time now) {
  const double share = options_.max_quarantined_share * static_cast<double>(zone_workers);
  const auto max_quarantined = std::max<size_t>(1, static_cast<size_t>(share));
  Worker& known = workers_[worker];
  const int doublings = std::min(known.failures_in_row++, kMaxDoublings);
  if (now >= known.quarantined_until && QuarantinedCount(now) >= max_quarantined) return;
  known.quarantined_until =
      now + std::min(options_.max_quarantine, options_.min_quarantine * (int64_t{1} << doublings));
}

}  // namespace turmericshift
