#include "servers/pool/worker_health_tracker.h"

#include <algorithm>
#include <set>

namespace turmericshift::pool {
namespace {

// Failures older than this are ignored: faults of workers last for seconds.
constexpr Duration kFailureWindow = std::chrono::seconds(10);
// A worker is quarantined after failures of this many different jobs that failed nowhere else. A
// healthy worker fails one run in two hundred, so two failures within the window are unlikely to be
// chance.
constexpr int kQuarantineThreshold = 2;
// Length of the first quarantine, doubled with each further one up to kMaxDoublings times.
constexpr Duration kInitialQuarantine = std::chrono::seconds(3);
constexpr int kMaxDoublings = 2;
// After a failed order, work goes to other workers for this long.
constexpr Duration kOrderFailureQuarantine = std::chrono::milliseconds(700);
// Length of the quarantine of a worker whose runs have stalled; renewed with every report while the
// runs make no progress.
constexpr Duration kStallQuarantine = std::chrono::milliseconds(1500);

}  // namespace

int WorkerHealthTracker::CountBlamedJobs(const std::string& worker, const WorkerHistory& history,
                                         Time now) const {
  std::set<std::string> jobs;
  for (const Failure& failure : history.failures) {
    if (now - failure.at > kFailureWindow) continue;
    const bool elsewhere = std::any_of(histories_.begin(), histories_.end(), [&](const auto& row) {
      if (row.first == worker) return false;
      return std::any_of(row.second.failures.begin(), row.second.failures.end(),
                         [&](const Failure& other) {
                           return other.job == failure.job && now - other.at < kFailureWindow;
                         });
    });
    if (!elsewhere) jobs.insert(failure.job);
  }
  return static_cast<int>(jobs.size());
}

void WorkerHealthTracker::Evaluate(const std::string& worker, Time now) {
  WorkerHistory& history = histories_[worker];
  if (CountBlamedJobs(worker, history, now) < kQuarantineThreshold) return;
  history.quarantined_until =
      now + kInitialQuarantine * (1 << std::min(history.quarantine_count, kMaxDoublings));
  ++history.quarantine_count;
  history.failures.clear();
}

void WorkerHealthTracker::RunFailed(const std::string& worker, const std::string& job, Time now) {
  WorkerHistory& history = histories_[worker];
  while (!history.failures.empty() && now - history.failures.front().at > kFailureWindow) {
    history.failures.pop_front();
  }
  history.failures.push_back({job, now});
  Evaluate(worker, now);
}

void WorkerHealthTracker::RunDone(const std::string& worker) {
  const auto found = histories_.find(worker);
  if (found == histories_.end()) return;
  found->second.failures.clear();
  found->second.quarantine_count = 0;
}

void WorkerHealthTracker::QuarantineUntil(const std::string& worker, Time until) {
  WorkerHistory& history = histories_[worker];
  history.quarantined_until = std::max(history.quarantined_until, until);
}

void WorkerHealthTracker::OrderFailed(const std::string& worker, Time now) {
  QuarantineUntil(worker, now + kOrderFailureQuarantine);
}

void WorkerHealthTracker::RunsStalled(const std::string& worker, Time now) {
  QuarantineUntil(worker, now + kStallQuarantine);
}

void WorkerHealthTracker::Forget(const std::string& worker) { histories_.erase(worker); }

bool WorkerHealthTracker::IsQuarantined(const std::string& worker, Time now) const {
  const auto found = histories_.find(worker);
  return found != histories_.end() && now < found->second.quarantined_until;
}

bool WorkerHealthTracker::IsSuspect(const std::string& worker, Time now) const {
  const auto found = histories_.find(worker);
  if (found == histories_.end()) return false;
  return std::any_of(found->second.failures.begin(), found->second.failures.end(),
                     [&](const Failure& failure) { return now - failure.at < kFailureWindow; });
}

}  // namespace turmericshift::pool
