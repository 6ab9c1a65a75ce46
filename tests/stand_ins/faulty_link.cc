#include "tests/stand_ins/faulty_link.h"

#include <algorithm>
#include <thread>

#include "core/digest.h"
#include "core/error.h"

namespace turmericshift {
namespace {

constexpr int kLongestDelayMillis = 20;
constexpr int kLatestMailMillis = 150;
constexpr Duration kLossNoticed = std::chrono::milliseconds(10);
constexpr int kLongestRunMillis = 4;

}  // namespace

bool Dice::Roll(double chance) {
  if (chance <= 0) return false;
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::uniform_real_distribution<double>(0, 1)(random_) < chance;
}

int Dice::Below(int bound) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::uniform_int_distribution<int>(0, bound - 1)(random_);
}

LinkFaults LinkWorld::faults() const {
  const std::lock_guard<std::mutex> lock(mutex);
  return current;
}

void LinkWorld::SetFaults(const LinkFaults& faults) {
  const std::lock_guard<std::mutex> lock(mutex);
  current = faults;
}

ServiceAnswer FaultyLink::Serve(const ServiceRequest& request) {
  const LinkFaults faults = world_->faults();
  Dice& dice = world_->dice;
  if (dice.Roll(faults.silent)) Hang(request.time_left);
  if (dice.Roll(faults.lost)) Hang(kLossNoticed);
  if (dice.Roll(faults.late)) {
    DeliverLate(request);
    Lose();
  }
  if (dice.Roll(faults.duplicated)) DeliverLate(request);
  if (dice.Roll(faults.delayed)) {
    std::this_thread::sleep_for(std::chrono::milliseconds(dice.Below(kLongestDelayMillis)));
  }
  ServiceAnswer answer = Deliver(request);
  if (dice.Roll(faults.answer_lost)) Lose();
  return Garble(std::move(answer), faults);
}

ServiceAnswer FaultyLink::Garble(ServiceAnswer answer, const LinkFaults& faults) {
  ServiceAnswer another;
  {
    const std::lock_guard<std::mutex> lock(world_->mutex);
    another = std::exchange(world_->another, answer);
  }
  if (world_->planted == PlantedFault::kSwapsAnswers && !another.request_id.empty()) {
    another.request_id = answer.request_id;
    return another;
  }
  if (world_->dice.Roll(faults.crossed)) return another;
  if (world_->dice.Roll(faults.cut)) answer.body.resize(answer.body.size() / 2);
  return answer;
}

ServiceAnswer FaultyLink::Deliver(const ServiceRequest& request) {
  const std::shared_lock<std::shared_mutex> lock(box_->alive);
  if (box_->dead.load()) Lose();
  ServiceAnswer answer = box_->agent->Serve(request);
  if (world_->planted == PlantedFault::kRunsTwice) {
    ServiceRequest again = request;
    again.idempotency_key.clear();
    again.request_id = AttemptRequestId(CallerRequestId(request.request_id), 99);
    box_->agent->Serve(again);
  }
  if (world_->planted == PlantedFault::kLiesNotRun) {
    throw Error(ErrorKind::kOverloaded, Outcome::kNotRun, "a planted lie");
  }
  if (box_->dead.load()) Lose();
  return answer;
}

void FaultyLink::DeliverLate(const ServiceRequest& request) {
  const Duration delay = std::chrono::milliseconds(world_->dice.Below(kLatestMailMillis));
  world_->mail.Submit([box = box_, request, delay] {
    std::this_thread::sleep_for(delay);
    const std::shared_lock<std::shared_mutex> lock(box->alive);
    if (box->dead.load()) return;
    try {
      box->agent->Serve(request);
    } catch (const Error&) {
      // Nobody waits for it any more.
    }
  });
}

void FaultyLink::Cancel(const std::string& request_id) {
  const std::shared_lock<std::shared_mutex> lock(box_->alive);
  if (!box_->dead.load()) box_->agent->Cancel(request_id);
}

RequestStatusReply FaultyLink::Resolve(const RequestStatusQuery& question, Duration timeout) {
  const LinkFaults faults = world_->faults();
  if (world_->dice.Roll(faults.silent)) Hang(timeout);
  if (world_->dice.Roll(faults.lost)) Hang(kLossNoticed);
  const std::shared_lock<std::shared_mutex> lock(box_->alive);
  if (box_->dead.load()) Lose();
  RequestStatusReply answer = box_->agent->Resolve(question, timeout);
  if (world_->dice.Roll(faults.answer_lost)) Lose();
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
  Lose();
}

void FaultyLink::Lose() { throw Error(ErrorKind::kConnectionLost, "the link has lost it"); }

ServiceAnswer CountingTarget::Perform(const ServiceRequest& request) {
  TargetChances chances;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    chances = chances_;
  }
  if (dice_->Roll(chances.refused)) {
    throw Error(ErrorKind::kUnavailable, Outcome::kNotRun, "the target refuses the connection");
  }
  history_->Add(RunEvent{agent_, request.request_id, request.idempotency_key, request.body});
  std::this_thread::sleep_for(std::chrono::milliseconds(dice_->Below(kLongestRunMillis)));
  {
    std::unique_lock<std::mutex> lock(mutex_);
    ++running_;
    changed_.notify_all();
    changed_.wait(lock, [this] { return !held_; });
    --running_;
  }
  if (dice_->Roll(chances.answer_lost)) {
    throw Error(ErrorKind::kConnectionLost, Outcome::kUnknown, "the target's answer was lost");
  }
  ServiceAnswer answer;
  answer.status = 200;
  answer.body = AnswerTo(request.body);
  answer.body_digest = Digest(answer.body);
  return answer;
}

void CountingTarget::Hold(bool held) {
  const std::lock_guard<std::mutex> lock(mutex_);
  held_ = held;
  changed_.notify_all();
}

void CountingTarget::SetChances(const TargetChances& chances) {
  const std::lock_guard<std::mutex> lock(mutex_);
  chances_ = chances;
}

int CountingTarget::running() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return running_;
}

}  // namespace turmericshift
