#include "main/commands/call_plan.h"

#include <algorithm>

namespace turmericshift {

CallPlan::CallPlan(size_t entries, size_t first, CallKind kind, const CallLimits& limits,
                   Time start)
    : kind_(kind),
      limits_(limits),
      start_(start),
      states_(entries, State::kNotSent),
      next_wave_(start) {
  for (size_t i = 0; i < entries; ++i) order_.push_back((first + i) % entries);
}

std::vector<size_t> CallPlan::TakeDueEntries(Time now) {
  std::vector<size_t> due;
  if (final_error_ || finished(now)) return due;
  const bool none_in_flight = CountOf(State::kInFlight) == 0;
  const bool may_hedge = kind_ != CallKind::kAtMostOnce || none_in_flight;
  if (!may_hedge || (now < next_wave_ && !none_in_flight)) return due;
  const size_t wave = none_in_flight ? 1 : wave_;
  while (due.size() < wave && sent_ < order_.size()) due.push_back(order_[sent_++]);
  for (const size_t entry : due) states_[entry] = State::kInFlight;
  if (!none_in_flight) wave_ *= 2;
  next_wave_ = now + limits_.hedge_delay;
  return due;
}

void CallPlan::HandleFailure(size_t entry, const Error& error) {
  const bool not_run = error.outcome() == Outcome::kNotRun;
  states_[entry] = not_run ? State::kNotRun : State::kMaybeRun;
  if (IsFinalError(error)) {
    final_error_ = error;
    return;
  }
  // An error that leaves open whether the call has run takes precedence over a later refusal.
  const bool keep_last = last_error_ && last_error_->outcome() != Outcome::kNotRun && not_run;
  if (!keep_last) last_error_ = error;
}

bool CallPlan::IsFinalError(const Error& error) const {
  const bool not_run = error.outcome() == Outcome::kNotRun;
  if (not_run) return !ErrorInfoFor(error.kind()).retryable;
  return kind_ == CallKind::kAtMostOnce || error.outcome() == Outcome::kRan;
}

bool CallPlan::TakeSilenceNotice(Time now) {
  if (notice_given_ || now - start_ < limits_.notice_delay) return false;
  notice_given_ = true;
  return true;
}

bool CallPlan::finished(Time now) const {
  if (final_error_ || now - start_ >= limits_.timeout) return true;
  return sent_ == order_.size() && CountOf(State::kInFlight) == 0;
}

Error CallPlan::failure(Time now) const {
  const bool maybe_applied = kind_ != CallKind::kRead && maybe_run();
  if (final_error_) {
    // Conflicts are decided by the order of the log, so every entry would answer the same.
    const bool conclusive =
        final_error_->outcome() != Outcome::kNotRun || final_error_->kind() == ErrorKind::kConflict;
    if (!maybe_applied || conclusive) return *final_error_;
    return {final_error_->kind(), Outcome::kUnknown,
            std::string(final_error_->what()) +
                "; the call was sent to another entry before, which may have done it"};
  }
  const Outcome outcome = maybe_applied ? Outcome::kUnknown : Outcome::kNotRun;
  if (order_.empty()) return {ErrorKind::kUnavailable, outcome, "no entry address is given"};
  const bool awaiting_reply = CountOf(State::kInFlight) > 0;
  if (!last_error_ || (awaiting_reply && now - start_ >= limits_.timeout)) {
    return {ErrorKind::kDeadlineExceeded, outcome, "no entry answered before the deadline"};
  }
  return {last_error_->kind(), outcome, last_error_->what()};
}

bool CallPlan::maybe_run() const {
  return CountOf(State::kInFlight) > 0 || CountOf(State::kMaybeRun) > 0;
}

std::vector<size_t> CallPlan::unanswered() const {
  std::vector<size_t> result;
  for (const size_t entry : order_) {
    if (states_[entry] == State::kInFlight) result.push_back(entry);
  }
  return result;
}

Time CallPlan::next_wakeup() const {
  Time next = start_ + limits_.timeout;
  if (sent_ < order_.size() && kind_ != CallKind::kAtMostOnce) next = std::min(next, next_wave_);
  if (!notice_given_) next = std::min(next, start_ + limits_.notice_delay);
  return next;
}

size_t CallPlan::CountOf(State state) const {
  return static_cast<size_t>(std::count(states_.begin(), states_.end(), state));
}

}  // namespace turmericshift
