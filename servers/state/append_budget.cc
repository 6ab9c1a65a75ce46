#include "servers/state/append_budget.h"

#include <algorithm>
#include <tuple>

namespace turmericshift {
namespace {

constexpr Duration kMaxPriorityWait = std::chrono::seconds(1);
constexpr int kBurstAppends = 10;

}  // namespace

AppendBudget::AppendBudget(double appends_per_second)
    : interval_(static_cast<int64_t>(1e9 / appends_per_second)) {}

void AppendBudget::Acquire(Stream stream) {
  std::unique_lock<std::mutex> lock(mutex_);
  const Ticket ticket = EnqueueLocked(stream, DefaultClock().Now());
  while (!TryAcquireLocked(ticket, DefaultClock().Now())) changed_.wait_for(lock, interval_);
  changed_.notify_all();
}

AppendBudget::Ticket AppendBudget::Enqueue(Stream stream, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return EnqueueLocked(stream, now);
}

bool AppendBudget::TryAcquire(Ticket ticket, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return TryAcquireLocked(ticket, now);
}

AppendBudget::Ticket AppendBudget::EnqueueLocked(Stream stream, Time now) {
  waiting_.push_back({++last_ticket_, stream, now});
  return last_ticket_;
}

std::list<AppendBudget::Waiting>::iterator AppendBudget::NextWaiter(Time now) {
  const auto rank = [&](const Waiting& each) {
    const bool starved = now - each.since > kMaxPriorityWait;
    return std::make_tuple(!starved, starved ? 0 : static_cast<int>(each.stream), each.ticket);
  };
  return std::min_element(
      waiting_.begin(), waiting_.end(),
      [&](const Waiting& left, const Waiting& right) { return rank(left) < rank(right); });
}

bool AppendBudget::TryAcquireLocked(Ticket ticket, Time now) {
  if (now < next_append_at_) return false;
  const auto next = NextWaiter(now);
  if (next == waiting_.end() || next->ticket != ticket) return false;
  waiting_.erase(next);
  next_append_at_ = std::max(next_append_at_, now - interval_ * kBurstAppends) + interval_;
  return true;
}

}  // namespace turmericshift
