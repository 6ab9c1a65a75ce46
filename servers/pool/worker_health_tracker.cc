#include <algorithm>
#include <set>

#include "servers/pool/worker_health_tracker.h"

namespace turmericshift::pool {
namespace {

// Failures older than this say nothing any more: troubles of workers last for seconds here.
constexpr Duration kMemory = std::chrono::seconds(10);
// So many different jobs failing at one worker, and nowhere else, condemn it: a sound worker fails
// one run in two hundred, so that two within the memory are unlikely to be chance.
constexpr int kJobsToCondemn = 2;
// First time aside; doubled each time it fails again.
constexpr Duration kAside = std::chrono::seconds(3);
constexpr int kMostDoublings = 2;
// An order that is not taken is tried elsewhere for this long.
constexpr Duration kNotTakenAside = std::chrono::milliseconds(700);
// Renewed with every report as long as what runs there stands still.
constexpr Duration kStillAside = std::chrono::milliseconds(1500);

}  // namespace

int WorkerHealthTracker::BlamedJobs(const std::string& worker, const Sheet& sheet, Time now) const {
  std::set<std::string> jobs;
  for (const Failure& failure : sheet.failures) {
    if (now - failure.at > kMemory) continue;
    const bool elsewhere = std::any_of(sheets_.begin(), sheets_.end(), [&](const auto& row) {
      if (row.first == worker) return false;
      return std::any_of(row.second.failures.begin(), row.second.failures.end(),
                         [&](const Failure& other) {
                           return other.job == failure.job && now - other.at < kMemory;
                         });
    });
    if (!elsewhere) jobs.insert(failure.job);
  }
  return static_cast<int>(jobs.size());
}

void WorkerHealthTracker::Judge(const std::string& worker, Time now) {
  Sheet& sheet = sheets_[worker];
  if (BlamedJobs(worker, sheet, now) < kJobsToCondemn) return;
  sheet.aside_until = now + kAside * (1 << std::min(sheet.times_aside, kMostDoublings));
  ++sheet.times_aside;
  sheet.failures.clear();
}

void WorkerHealthTracker::RunFailed(const std::string& worker, const std::string& job, Time now) {
  Sheet& sheet = sheets_[worker];
  while (!sheet.failures.empty() && now - sheet.failures.front().at > kMemory) {
    sheet.failures.pop_front();
  }
  sheet.failures.push_back({job, now});
  Judge(worker, now);
}

void WorkerHealthTracker::RunDone(const std::string& worker) {
  const auto found = sheets_.find(worker);
  if (found == sheets_.end()) return;
  found->second.failures.clear();
  found->second.times_aside = 0;
}

void WorkerHealthTracker::KeepAside(const std::string& worker, Time until) {
  Sheet& sheet = sheets_[worker];
  sheet.aside_until = std::max(sheet.aside_until, until);
}

void WorkerHealthTracker::OrderFailed(const std::string& worker, Time now) {
  KeepAside(worker, now + kNotTakenAside);
}

void WorkerHealthTracker::StandsStill(const std::string& worker, Time now) {
  KeepAside(worker, now + kStillAside);
}

void WorkerHealthTracker::Forget(const std::string& worker) { sheets_.erase(worker); }

bool WorkerHealthTracker::IsQuarantined(const std::string& worker, Time now) const {
  const auto found = sheets_.find(worker);
  return found != sheets_.end() && now < found->second.aside_until;
}

bool WorkerHealthTracker::IsSuspect(const std::string& worker, Time now) const {
  const auto found = sheets_.find(worker);
  if (found == sheets_.end()) return false;
  return std::any_of(found->second.failures.begin(), found->second.failures.end(),
                     [&](const Failure& failure) { return now - failure.at < kMemory; });
}

}  // namespace turmericshift::pool
