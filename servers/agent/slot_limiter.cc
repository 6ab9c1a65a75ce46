#include "servers/agent/slot_limiter.h"

#include <algorithm>

#include "core/error.h"

namespace turmericshift {
namespace {

// The newest sample has weight 1/8 in the moving average of the hold time.
constexpr int kAverageDivisor = 8;

int CountOf(const std::map<std::string, int>& counts, const std::string& workspace) {
  const auto found = counts.find(workspace);
  return found == counts.end() ? 0 : found->second;
}

void Decrement(std::map<std::string, int>* counts, const std::string& workspace) {
  const auto found = counts->find(workspace);
  if (found != counts->end() && --found->second == 0) counts->erase(found);
}

}  // namespace

SlotLimiter::SlotLimiter(int slots, int connections) : slots_(slots), connections_(connections) {}

SlotLimiter::Slot::~Slot() {
  if (limiter_ != nullptr) limiter_->ReleaseSlot(workspace_, acquired_at_, DefaultClock().Now());
}

SlotLimiter::Slot SlotLimiter::Acquire(const std::string& workspace, const std::string& request_id,
                                       Time now, Time deadline) {
  std::unique_lock<std::mutex> lock(mutex_);
  RequireCapacity(workspace, now, deadline);
  Waiter waiter{workspace, request_id, deadline, WaitState::kWaiting};
  const auto place = queue_.insert(queue_.end(), &waiter);
  ++waiting_of_[workspace];
  Grant(now);
  const auto settled = [&waiter] { return waiter.state != WaitState::kWaiting; };
  if (!changed_.wait_until(lock, deadline, settled)) {
    queue_.erase(place);
    Decrement(&waiting_of_, workspace);
    throw Error(ErrorKind::kDeadlineExceeded, Outcome::kNotRun,
                "no slot became free before the deadline");
  }
  if (waiter.state != WaitState::kGranted) ThrowFor(waiter.state);
  return {this, workspace, DefaultClock().Now()};
}

void SlotLimiter::RequireCapacity(const std::string& workspace, Time now, Time deadline) {
  if (closed_) ThrowFor(WaitState::kClosed);
  const int waiting = static_cast<int>(queue_.size());
  // A request that is expected to reach its deadline in the queue is refused immediately, while its
  // caller can still try another target. Under fair sharing, a request waits mainly for the queued
  // requests of its own workspace.
  const Duration wait =
      average_hold_time_ * (waiting + 1 + std::max(0, running_ - slots_)) / slots_;
  const bool must_wait = running_ >= slots_;
  const bool would_expire = must_wait && now + wait + average_hold_time_ > deadline;
  if (!would_expire && running_ + waiting < connections_) return;
  if (!ShedFor(workspace)) {
    throw Error(ErrorKind::kOverloaded, "the target can't accept more requests at present");
  }
}

bool SlotLimiter::ShedFor(const std::string& workspace) {
  const int own = Usage(workspace);
  auto victim = queue_.end();
  int most = own + 1;
  for (auto each = queue_.begin(); each != queue_.end(); ++each) {
    const int held = Usage((*each)->workspace);
    if (held < most || (*each)->workspace == workspace) continue;
    // Selects the newest request of the workspace with the highest usage. If workspaces have equal
    // usage, the request that is later in the queue is selected.
    most = held;
    victim = each;
  }
  if (victim == queue_.end() || most <= own + 1) return false;
  (*victim)->state = WaitState::kShed;
  Decrement(&waiting_of_, (*victim)->workspace);
  queue_.erase(victim);
  changed_.notify_all();
  return true;
}

int SlotLimiter::Usage(const std::string& workspace) const {
  return CountOf(running_of_, workspace) + CountOf(waiting_of_, workspace);
}

SlotLimiter::Queue::iterator SlotLimiter::NextToRun() {
  return std::min_element(queue_.begin(), queue_.end(), [this](const Waiter* a, const Waiter* b) {
    return CountOf(running_of_, a->workspace) < CountOf(running_of_, b->workspace);
  });
}

void SlotLimiter::Grant(Time now) {
  bool any = false;
  while (running_ < slots_ && !queue_.empty()) {
    const auto next = NextToRun();
    Waiter* waiter = *next;
    queue_.erase(next);
    Decrement(&waiting_of_, waiter->workspace);
    any = true;
    // Under overload, a slot must not go to a request whose answer would come after its deadline.
    // Otherwise all slots are busy with work that no caller waits for.
    if (!queue_.empty() && now + average_hold_time_ > waiter->deadline) {
      waiter->state = WaitState::kShed;
      continue;
    }
    waiter->state = WaitState::kGranted;
    ++running_of_[waiter->workspace];
    ++running_;
  }
  if (any) changed_.notify_all();
}

bool SlotLimiter::CancelWaiting(const std::string& request_id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = std::find_if(queue_.begin(), queue_.end(), [&](const Waiter* waiter) {
    return waiter->request_id == request_id;
  });
  if (found == queue_.end()) return false;
  (*found)->state = WaitState::kCancelled;
  Decrement(&waiting_of_, (*found)->workspace);
  queue_.erase(found);
  changed_.notify_all();
  return true;
}

void SlotLimiter::Close() {
  const std::lock_guard<std::mutex> lock(mutex_);
  closed_ = true;
  for (Waiter* waiter : queue_) waiter->state = WaitState::kClosed;
  queue_.clear();
  waiting_of_.clear();
  changed_.notify_all();
}

void SlotLimiter::SetLimits(int slots, int connections) {
  const std::lock_guard<std::mutex> lock(mutex_);
  slots_ = std::max(1, slots);
  connections_ = std::max(slots_, connections);
  Grant(DefaultClock().Now());
}

TargetLoad SlotLimiter::load() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return {running_, static_cast<int>(queue_.size()), slots_};
}

void SlotLimiter::ReleaseSlot(const std::string& workspace, Time acquired_at, Time now) {
  const Duration held = now - acquired_at;
  const std::lock_guard<std::mutex> lock(mutex_);
  --running_;
  Decrement(&running_of_, workspace);
  average_hold_time_ = average_hold_time_ == Duration::zero()
                           ? held
                           : average_hold_time_ + (held - average_hold_time_) / kAverageDivisor;
  Grant(now);
}

void SlotLimiter::ThrowFor(WaitState state) {
  if (state == WaitState::kCancelled) {
    throw Error(ErrorKind::kCancelled, "the caller has cancelled the request");
  }
  if (state == WaitState::kClosed) throw Error(ErrorKind::kLeaving, "the target is leaving");
  throw Error(ErrorKind::kOverloaded, "the target is overloaded and has shed the request");
}

}  // namespace turmericshift
