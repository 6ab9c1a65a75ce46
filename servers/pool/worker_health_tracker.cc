#include "servers/pool/worker_health_tracker.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>
#include <vector>

#include "servers/learned/saved_rows.h"

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
// Largest saved number of quarantines; more make no difference.
constexpr int kMaxSavedQuarantines = kMaxDoublings + 1;

int64_t Millis(Duration duration) {
  return duration_cast<std::chrono::milliseconds>(duration).count();
}

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

void WorkerHealthTracker::PauseUntil(const std::string& worker, Time until) {
  WorkerHistory& history = histories_[worker];
  history.paused_until = std::max(history.paused_until, until);
}

void WorkerHealthTracker::OrderFailed(const std::string& worker, Time now) {
  PauseUntil(worker, now + kOrderFailureQuarantine);
}

void WorkerHealthTracker::RunsStalled(const std::string& worker, Time now) {
  PauseUntil(worker, now + kStallQuarantine);
}

void WorkerHealthTracker::BeginIncarnation(const std::string& worker, int64_t start_time_ms) {
  const auto known = start_times_.find(worker);
  if (known != start_times_.end() && known->second == start_time_ms) return;
  start_times_[worker] = start_time_ms;
  histories_.erase(worker);
}

bool WorkerHealthTracker::IsQuarantined(const std::string& worker, Time now) const {
  const auto found = histories_.find(worker);
  if (found == histories_.end()) return false;
  return now < found->second.quarantined_until || now < found->second.paused_until;
}

bool WorkerHealthTracker::IsPaused(const std::string& worker, Time now) const {
  const auto found = histories_.find(worker);
  return found != histories_.end() && now < found->second.paused_until;
}

bool WorkerHealthTracker::IsSuspect(const std::string& worker, Time now) const {
  const auto found = histories_.find(worker);
  if (found == histories_.end()) return false;
  return std::any_of(found->second.failures.begin(), found->second.failures.end(),
                     [&](const Failure& failure) { return now - failure.at < kFailureWindow; });
}

nlohmann::json WorkerHealthTracker::RowOf(const WorkerHistory& history, int64_t start_time_ms,
                                          Time now) {
  nlohmann::json failures = nlohmann::json::array();
  for (const Failure& failure : history.failures) {
    if (now - failure.at > kFailureWindow) continue;
    failures.push_back({failure.job, Millis(now - failure.at)});
  }
  const Time until = std::max(history.quarantined_until, history.paused_until);
  const Duration quarantine = std::max(until - now, Duration::zero());
  return {start_time_ms, Millis(quarantine),
          std::min(history.quarantine_count, kMaxSavedQuarantines), failures};
}

nlohmann::json WorkerHealthTracker::Save(size_t max_bytes, Time now) const {
  // Quarantined workers first, then those with the most quarantines.
  std::vector<std::pair<std::pair<bool, int>, const std::string*>> worst;
  for (const auto& [name, history] : histories_) {
    if (start_times_.count(name) == 0) continue;
    const bool quarantined = IsQuarantined(name, now);
    if (!quarantined && history.quarantine_count == 0 && !IsSuspect(name, now)) continue;
    worst.push_back({{quarantined, history.quarantine_count}, &name});
  }
  std::stable_sort(worst.begin(), worst.end(),
                   [](const auto& left, const auto& right) { return left.first > right.first; });
  learned::SavedRows saved(max_bytes);
  for (const auto& [rank, name] : worst) {
    saved.Add(*name, RowOf(histories_.at(*name), start_times_.at(*name), now));
  }
  return {{"workers", saved.rows()}};
}

WorkerHealthTracker::WorkerHistory WorkerHealthTracker::HistoryFrom(const nlohmann::json& row,
                                                                    Duration age, Time now) {
  WorkerHistory history;
  const Time saved_at = now - age;
  const int64_t longest = Millis(kInitialQuarantine * (1 << kMaxDoublings));
  history.quarantined_until =
      saved_at + std::chrono::milliseconds(learned::IntegerIn(row.at(1), 0, longest));
  history.quarantine_count =
      static_cast<int>(learned::IntegerIn(row.at(2), 0, kMaxSavedQuarantines));
  for (const nlohmann::json& failure : row.at(3)) {
    const int64_t failed_before = learned::IntegerIn(failure.at(1), 0, Millis(kFailureWindow));
    history.failures.push_back(
        {failure.at(0).get<std::string>(), saved_at - std::chrono::milliseconds(failed_before)});
  }
  return history;
}

void WorkerHealthTracker::Load(const nlohmann::json& data, Duration age, Time now) {
  auto loaded = learned::ReadSaved([&] {
    std::pair<std::map<std::string, WorkerHistory>, std::map<std::string, int64_t>> state;
    for (const auto& [name, row] : data.at("workers").items()) {
      state.first[name] = HistoryFrom(row, age, now);
      state.second[name] = learned::IntegerIn(row.at(0), 0, std::numeric_limits<int64_t>::max());
    }
    return state;
  });
  histories_ = std::move(loaded.first);
  start_times_ = std::move(loaded.second);
}

}  // namespace turmericshift::pool
