#include "servers/agent/request_ledger.h"

#include "core/error.h"

namespace turmericshift {
namespace {

std::string AttemptKey(const std::string& workspace, const std::string& key, int attempt) {
  return workspace + "/" + key + "#" + std::to_string(attempt);
}

}  // namespace

void RequestLedger::Begin(const ServiceRequest& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto [slot, fresh] =
      rows_.try_emplace(AttemptKey(request.workspace, request.idempotency_key, request.attempt));
  if (!fresh) {
    // A duplicated or late message: the first one decides, so this one must not run. What became
    // of the first is asked for by Resolve, not told here.
    throw Error(ErrorKind::kFenced, Outcome::kUnknown, "this attempt was seen before");
  }
  slot->second.state = SeenState::kRunning;
  slot->second.fence = request.fence;
}

void RequestLedger::Finish(const ServiceRequest& request, const ServiceAnswer& answer) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (Row* row = Find(request)) {
    row->state = SeenState::kRan;
    row->answer = answer;
  }
}

void RequestLedger::Abandon(const ServiceRequest& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (Row* row = Find(request)) row->state = SeenState::kNeverWillRun;
}

void RequestLedger::Lose(const ServiceRequest& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (Row* row = Find(request)) row->state = SeenState::kUnknown;
}

SeenAnswer RequestLedger::Resolve(const SeenQuestion& question) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto [slot, fresh] =
      rows_.try_emplace(AttemptKey(question.workspace, question.idempotency_key, question.attempt));
  if (fresh) slot->second.state = SeenState::kNeverWillRun;
  return {slot->second.state, slot->second.answer};
}

RequestLedger::Row* RequestLedger::Find(const ServiceRequest& request) {
  const auto found =
      rows_.find(AttemptKey(request.workspace, request.idempotency_key, request.attempt));
  return found == rows_.end() ? nullptr : &found->second;
}

}  // namespace turmericshift
