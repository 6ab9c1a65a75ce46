#include "main/commands/call_plan.h"

#include <algorithm>

namespace turmericshift {

CallPlan::CallPlan(size_t entries, size_t first, CallKind kind, const CallLimits& limits,
                   Time begun)
    : kind_(kind),
      limits_(limits),
      begun_(begun),
      states_(entries, State::kUnasked),
      next_wave_(begun) {
  for (size_t i = 0; i < entries; ++i) order_.push_back((first + i) % entries);
}

std::vector<size_t> CallPlan::TakeDue(Time now) {
  std::vector<size_t> due;
  if (final_ || over(now)) return due;
  const bool none_under_way = CountOf(State::kAsked) == 0;
  const bool may_join = kind_ != CallKind::kOnce || none_under_way;
  if (!may_join || (now < next_wave_ && !none_under_way)) return due;
  const size_t wave = none_under_way ? 1 : wave_;
  while (due.size() < wave && asked_ < order_.size()) due.push_back(order_[asked_++]);
  for (const size_t entry : due) states_[entry] = State::kAsked;
  if (!none_under_way) wave_ *= 2;
  next_wave_ = now + limits_.patience;
  return due;
}

void CallPlan::Failed(size_t entry, const Error& error) {
  const bool not_run = error.outcome() == Outcome::kNotRun;
  states_[entry] = not_run ? State::kNotRun : State::kMaybeRun;
  if (IsFinal(error)) {
    final_ = error;
    return;
  }
  // What may have been done weighs more than a later refusal.
  const bool keeps = last_ && last_->outcome() != Outcome::kNotRun && not_run;
  if (!keeps) last_ = error;
}

bool CallPlan::IsFinal(const Error& error) const {
  const bool not_run = error.outcome() == Outcome::kNotRun;
  if (not_run) return !AnswerFor(error.kind()).retryable;
  return kind_ == CallKind::kOnce || error.outcome() == Outcome::kRan;
}

bool CallPlan::TakeNotice(Time now) {
  if (noticed_ || now - begun_ < limits_.notice) return false;
  noticed_ = true;
  return true;
}

bool CallPlan::over(Time now) const {
  if (final_ || now - begun_ >= limits_.total) return true;
  return asked_ == order_.size() && CountOf(State::kAsked) == 0;
}

Error CallPlan::failure(Time now) const {
  const bool unsettled = kind_ != CallKind::kRead && maybe_run();
  if (final_) {
    // The log decides a conflict, for every entry alike.
    const bool settles =
        final_->outcome() != Outcome::kNotRun || final_->kind() == ErrorKind::kConflict;
    if (!unsettled || settles) return *final_;
    return {final_->kind(), Outcome::kUnknown,
            std::string(final_->what()) + "; another entry was asked before and may have done it"};
  }
  const Outcome outcome = unsettled ? Outcome::kUnknown : Outcome::kNotRun;
  if (order_.empty()) return {ErrorKind::kUnavailable, outcome, "no entry is named"};
  const bool silence = CountOf(State::kAsked) > 0;
  if (!last_ || (silence && now - begun_ >= limits_.total)) {
    return {ErrorKind::kDeadlineExceeded, outcome, "no entry has answered in time"};
  }
  return {last_->kind(), outcome, last_->what()};
}

bool CallPlan::maybe_run() const {
  return CountOf(State::kAsked) > 0 || CountOf(State::kMaybeRun) > 0;
}

std::vector<size_t> CallPlan::silent() const {
  std::vector<size_t> result;
  for (const size_t entry : order_) {
    if (states_[entry] == State::kAsked) result.push_back(entry);
  }
  return result;
}

Time CallPlan::next_look() const {
  Time next = begun_ + limits_.total;
  if (asked_ < order_.size() && kind_ != CallKind::kOnce) next = std::min(next, next_wave_);
  if (!noticed_) next = std::min(next, begun_ + limits_.notice);
  return next;
}

size_t CallPlan::CountOf(State state) const {
  return static_cast<size_t>(std::count(states_.begin(), states_.end(), state));
}

}  // namespace turmericshift
