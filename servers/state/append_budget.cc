#include "servers/state/append_budget.h"

#include <algorithm>
#include <tuple>

namespace turmericshift {
namespace {

constexpr Duration kFairAfter = std::chrono::seconds(1);
constexpr int kBurst = 10;

}  // namespace

AppendBudget::AppendBudget(double appends_per_second)
    : interval_(static_cast<int64_t>(1e9 / appends_per_second)) {}

void AppendBudget::Acquire(Stream stream) {
  std::unique_lock<std::mutex> lock(mutex_);
  const Ticket ticket = EnterLocked(stream, DefaultClock().Now());
  while (!TryGoLocked(ticket, DefaultClock().Now())) changed_.wait_for(lock, interval_);
  changed_.notify_all();
}

AppendBudget::Ticket AppendBudget::Enter(Stream stream, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return EnterLocked(stream, now);
}

bool AppendBudget::TryGo(Ticket ticket, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return TryGoLocked(ticket, now);
}

AppendBudget::Ticket AppendBudget::EnterLocked(Stream stream, Time now) {
  waiting_.push_back({++last_ticket_, stream, now});
  return last_ticket_;
}

std::list<AppendBudget::Waiting>::iterator AppendBudget::Next(Time now) {
  const auto rank = [&](const Waiting& each) {
    const bool starved = now - each.since > kFairAfter;
    return std::make_tuple(!starved, starved ? 0 : static_cast<int>(each.stream), each.ticket);
  };
  return std::min_element(
      waiting_.begin(), waiting_.end(),
      [&](const Waiting& left, const Waiting& right) { return rank(left) < rank(right); });
}

bool AppendBudget::TryGoLocked(Ticket ticket, Time now) {
  if (now < next_free_) return false;
  const auto next = Next(now);
  if (next == waiting_.end() || next->ticket != ticket) return false;
  waiting_.erase(next);
  next_free_ = std::max(next_free_, now - interval_ * kBurst) + interval_;
  return true;
}

}  // namespace turmericshift
