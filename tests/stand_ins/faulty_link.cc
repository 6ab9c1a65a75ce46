#include "tests/stand_ins/faulty_link.h"

#include <algorithm>
#include <thread>

#include "core/digest.h"
#include "core/error.h"

namespace turmericshift {
namespace {

constexpr int kMaxDelayMillis = 20;
constexpr int kMaxLateDeliveryMillis = 150;
constexpr Duration kLossDetectionDelay = std::chrono::milliseconds(10);
constexpr int kMaxRunMillis = 4;

}  // namespace

bool SharedRandom::Chance(double chance) {
  if (chance <= 0) return false;
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::uniform_real_distribution<double>(0, 1)(random_) < chance;
}

int SharedRandom::Below(int bound) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::uniform_int_distribution<int>(0, bound - 1)(random_);
}

LinkFaults LinkState::faults() const {
  const std::lock_guard<std::mutex> lock(mutex);
  return current;
}

void LinkState::SetFaults(const LinkFaults& faults) {
  const std::lock_guard<std::mutex> lock(mutex);
  current = faults;
}

ServiceAnswer FaultyLink::Serve(const ServiceRequest& request) {
  const LinkFaults faults = link_state_->faults();
  SharedRandom& random = link_state_->random;
  if (random.Chance(faults.silent)) Hang(request.time_left);
  if (random.Chance(faults.lost)) Hang(kLossDetectionDelay);
  if (random.Chance(faults.late)) {
    DeliverLate(request);
    ThrowConnectionLost();
  }
  if (random.Chance(faults.duplicated)) DeliverLate(request);
  if (random.Chance(faults.delayed)) {
    std::this_thread::sleep_for(std::chrono::milliseconds(random.Below(kMaxDelayMillis)));
  }
  ServiceAnswer answer = Deliver(request);
  if (random.Chance(faults.answer_lost)) ThrowConnectionLost();
  return ApplyAnswerFaults(std::move(answer), faults);
}

ServiceAnswer FaultyLink::ApplyAnswerFaults(ServiceAnswer answer, const LinkFaults& faults) {
  ServiceAnswer previous_answer;
  {
    const std::lock_guard<std::mutex> lock(link_state_->mutex);
    previous_answer = std::exchange(link_state_->previous_answer, answer);
  }
  if (link_state_->injected_bug == InjectedBug::kSwapsAnswers &&
      !previous_answer.request_id.empty()) {
    previous_answer.request_id = answer.request_id;
    return previous_answer;
  }
  if (link_state_->random.Chance(faults.swapped)) return previous_answer;
  if (link_state_->random.Chance(faults.truncated)) answer.body.resize(answer.body.size() / 2);
  return answer;
}

ServiceAnswer FaultyLink::Deliver(const ServiceRequest& request) {
  const std::shared_lock<std::shared_mutex> lock(agent_process_->alive);
  if (agent_process_->dead.load()) ThrowConnectionLost();
  ServiceAnswer answer = agent_process_->agent->Serve(request);
  if (link_state_->injected_bug == InjectedBug::kRunsTwice) {
    ServiceRequest again = request;
    again.idempotency_key.clear();
    again.request_id = AttemptRequestId(CallerRequestId(request.request_id), 99);
    agent_process_->agent->Serve(again);
  }
  if (link_state_->injected_bug == InjectedBug::kFalseNotRun) {
    throw Error(ErrorKind::kOverloaded, Outcome::kNotRun, "injected bug: the request ran");
  }
  if (agent_process_->dead.load()) ThrowConnectionLost();
  return answer;
}

void FaultyLink::DeliverLate(const ServiceRequest& request) {
  const Duration delay =
      std::chrono::milliseconds(link_state_->random.Below(kMaxLateDeliveryMillis));
  link_state_->late_deliveries.Submit([agent_process = agent_process_, request, delay] {
    std::this_thread::sleep_for(delay);
    const std::shared_lock<std::shared_mutex> lock(agent_process->alive);
    if (agent_process->dead.load()) return;
    try {
      agent_process->agent->Serve(request);
    } catch (const Error&) {
      // The caller was already told that the connection is lost.
    }
  });
}

void FaultyLink::Cancel(const std::string& request_id) {
  const std::shared_lock<std::shared_mutex> lock(agent_process_->alive);
  if (!agent_process_->dead.load()) agent_process_->agent->Cancel(request_id);
}

RequestStatusReply FaultyLink::Resolve(const RequestStatusQuery& question, Duration timeout) {
  const LinkFaults faults = link_state_->faults();
  if (link_state_->random.Chance(faults.silent)) Hang(timeout);
  if (link_state_->random.Chance(faults.lost)) Hang(kLossDetectionDelay);
  const std::shared_lock<std::shared_mutex> lock(agent_process_->alive);
  if (agent_process_->dead.load()) ThrowConnectionLost();
  RequestStatusReply answer = agent_process_->agent->Resolve(question, timeout);
  if (link_state_->random.Chance(faults.answer_lost)) ThrowConnectionLost();
  return answer;
}

void FaultyLink::Drop() {
  const std::lock_guard<std::mutex> lock(mutex_);
  dropped_ = true;
  changed_.notify_all();
}

void FaultyLink::Hang(Duration limit) {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_for(lock, limit, [this] { return dropped_; });
  lock.unlock();
  ThrowConnectionLost();
}

void FaultyLink::ThrowConnectionLost() {
  throw Error(ErrorKind::kConnectionLost, "the link lost the message");
}

ServiceAnswer CountingTarget::Perform(const ServiceRequest& request) {
  TargetFaults faults;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    faults = faults_;
  }
  if (random_->Chance(faults.refused)) {
    throw Error(ErrorKind::kUnavailable, Outcome::kNotRun, "the target refused the connection");
  }
  history_->Add(RunEvent{agent_, request.request_id, request.idempotency_key, request.body});
  std::this_thread::sleep_for(std::chrono::milliseconds(random_->Below(kMaxRunMillis)));
  {
    std::unique_lock<std::mutex> lock(mutex_);
    ++running_;
    changed_.notify_all();
    changed_.wait(lock, [this] { return !blocked_; });
    --running_;
  }
  if (random_->Chance(faults.answer_lost)) {
    throw Error(ErrorKind::kConnectionLost, Outcome::kUnknown, "the target's answer was lost");
  }
  ServiceAnswer answer;
  answer.status = 200;
  answer.body = AnswerTo(request.body);
  answer.body_digest = Digest(answer.body);
  return answer;
}

void CountingTarget::SetBlocked(bool blocked) {
  const std::lock_guard<std::mutex> lock(mutex_);
  blocked_ = blocked;
  changed_.notify_all();
}

void CountingTarget::SetFaults(const TargetFaults& faults) {
  const std::lock_guard<std::mutex> lock(mutex_);
  faults_ = faults;
}

int CountingTarget::running() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return running_;
}

}  // namespace turmericshift
