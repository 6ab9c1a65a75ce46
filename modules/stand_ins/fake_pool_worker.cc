#include "modules/stand_ins/fake_pool_worker.h"

#include <algorithm>

#include "core/units.h"

namespace turmericshift::pool {
namespace {

constexpr Duration kLookEvery = std::chrono::milliseconds(5);

}  // namespace

WorkerMillis FakePoolWorker::Clock(Time now) const {
  return duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
}

void FakePoolWorker::End(const RunId& run, EndKind kind) {
  live_.erase(run);
  newest_over_[run.task] = std::max(newest_over_[run.task], run.number);
  const EndedTask end = {++ends_, run, kind, ""};
  ended_[end.number] = end;
  changed_.notify_all();
}

void FakePoolWorker::Settle(Time now) {
  const bool lapsed = Clock(now) >= lease_until_;
  const std::map<RunId, Live> live = live_;
  for (const auto& [run, state] : live) {
    if (lapsed) {
      End(run, EndKind::kLapsed);
    } else if (now >= state.over_at) {
      End(run, EndKind::kDone);
    }
  }
}

OrderAnswer FakePoolWorker::Start(const StartCall& call, Duration /*timeout*/) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const Time now = LeaseClock().Now();
  Settle(now);
  if (call.fence < fence_) return OrderAnswer::kFenced;
  fence_ = call.fence;
  lease_until_ = std::max(lease_until_, call.lease_until);
  if (live_.count(call.run) > 0) return OrderAnswer::kTaken;
  const auto over = newest_over_.find(call.run.task);
  if (over != newest_over_.end() && call.run.number <= over->second) return OrderAnswer::kOld;
  if (Clock(now) >= call.lease_until) return OrderAnswer::kLate;
  live_[call.run] = {now + ParseDuration(call.payload)};
  begun_.push_back(call.run);
  return OrderAnswer::kTaken;
}

OrderAnswer FakePoolWorker::Stop(const std::string& /*worker_id*/, const RunId& run, int64_t fence,
                                 Duration /*timeout*/) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (fence < fence_) return OrderAnswer::kFenced;
  newest_over_[run.task] = std::max(newest_over_[run.task], run.number);
  if (live_.count(run) > 0) End(run, EndKind::kStopped);
  return OrderAnswer::kTaken;
}

HoldAnswer FakePoolWorker::Hold(const HoldCall& call, Duration /*timeout*/) {
  std::unique_lock<std::mutex> lock(mutex_);
  HoldAnswer answer;
  if (call.fence < fence_) {
    answer.answer = OrderAnswer::kFenced;
    return answer;
  }
  fence_ = call.fence;
  if (call.lease_until) lease_until_ = std::max(lease_until_, *call.lease_until);
  ended_.erase(ended_.begin(), ended_.upper_bound(call.ends_kept));
  const Time until = LeaseClock().Now() + call.wait;
  Settle(LeaseClock().Now());
  while (ended_.empty() && LeaseClock().Now() < until) {
    changed_.wait_for(lock, kLookEvery);
    Settle(LeaseClock().Now());
  }
  answer.answer = OrderAnswer::kTaken;
  answer.lists.born_ms = born_ms_;
  answer.lists.clock = Clock(LeaseClock().Now());
  for (const auto& row : live_) answer.lists.running.push_back({row.first, ""});
  for (const auto& row : ended_) answer.lists.ended.push_back(row.second);
  return answer;
}

std::vector<RunId> FakePoolWorker::begun() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return begun_;
}

}  // namespace turmericshift::pool
