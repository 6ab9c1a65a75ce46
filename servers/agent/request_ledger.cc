#include "servers/agent/request_ledger.h"

#include <algorithm>

#include "core/error.h"

namespace turmericshift {
namespace {

// Queries time out after this time. A query states the age of its request as of the time when the
// query is sent, so on arrival the stated age is too low by at most this much.
constexpr Duration kMaxQuestionTransit = std::chrono::seconds(5);

std::string RowName(const std::string& workspace, const std::string& key,
                    const std::string& request_id) {
  return key.empty() ? "id/" + request_id : "key/" + workspace + "/" + key;
}

}  // namespace

void RequestLedger::Begin(const ServiceRequest& request, Time now) {
  const bool keyed = !request.idempotency_key.empty();
  const std::string name = RowName(request.workspace, request.idempotency_key, request.request_id);
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = rows_.find(name);
  if (found == rows_.end()) {
    if (keyed && request.fence <= fence_floor_) {
      throw Error(ErrorKind::kFenced, Outcome::kUnknown,
                  "the claim is older than the stored attempts");
    }
    Add(name, request.fence, request.attempt, keyed, now);
    return;
  }
  Row& row = found->second;
  const bool newer = keyed && request.attempt > row.attempt && request.fence > row.fence;
  if (newer && row.state == RequestRunState::kNeverWillRun) {
    row.attempt = request.attempt;
    row.fence = request.fence;
    row.state = RequestRunState::kRunning;
    row.begun_at = now;
    return;
  }
  if (request.attempt == row.attempt && row.state == RequestRunState::kNeverWillRun) {
    throw Error(ErrorKind::kFenced, Outcome::kNotRun, "this attempt was reported as never run");
  }
  // A duplicate or delayed message: only the first copy may run. The result of the first copy is
  // available from Resolve, not from this error.
  throw Error(ErrorKind::kFenced, Outcome::kUnknown, "this attempt was received before");
}

void RequestLedger::Finish(const ServiceRequest& request, const ServiceAnswer& answer) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Row* row = Find(request);
  if (row == nullptr) return;
  row->state = RequestRunState::kRan;
  StoreAnswer(row, answer);
}

void RequestLedger::MarkNotRun(const ServiceRequest& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (Row* row = Find(request)) row->state = RequestRunState::kNeverWillRun;
}

void RequestLedger::MarkUnknown(const ServiceRequest& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (Row* row = Find(request)) row->state = RequestRunState::kUnknown;
}

RequestStatusReply RequestLedger::Resolve(const RequestStatusQuery& question, Time now) {
  const bool keyed = !question.idempotency_key.empty();
  const std::string name =
      RowName(question.workspace, question.idempotency_key, question.request_id);
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = rows_.find(name);
  if (found == rows_.end()) {
    const bool may_be_evicted =
        keyed ? question.fence <= fence_floor_
              : now - question.age <= newest_evicted_at_ + kMaxQuestionTransit &&
                    newest_evicted_at_ != Time{};
    if (may_be_evicted) return {RequestRunState::kUnknown, {}};
    Row& row = Add(name, question.fence, question.attempt, keyed, now);
    row.state = RequestRunState::kNeverWillRun;
    return {RequestRunState::kNeverWillRun, {}};
  }
  Row& row = found->second;
  const bool newer = keyed && question.attempt > row.attempt && question.fence > row.fence;
  if (newer && row.state == RequestRunState::kNeverWillRun) {
    row.attempt = question.attempt;
    row.fence = question.fence;
  }
  // A newer attempt is claimed only after the older one is known never to run.
  if (keyed && question.attempt < row.attempt) return {RequestRunState::kNeverWillRun, {}};
  return {row.state, row.answer};
}

size_t RequestLedger::rows() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return rows_.size();
}

RequestLedger::Row* RequestLedger::Find(const ServiceRequest& request) {
  const auto found =
      rows_.find(RowName(request.workspace, request.idempotency_key, request.request_id));
  if (found == rows_.end() || found->second.attempt != request.attempt) return nullptr;
  return &found->second;
}

RequestLedger::Row& RequestLedger::Add(const std::string& name, Sequence fence, int attempt,
                                       bool keyed, Time now) {
  if (rows_.size() >= limits_.max_rows) EvictOldest();
  Row& row = rows_[name];
  row.keyed = keyed;
  row.attempt = attempt;
  row.fence = fence;
  row.begun_at = now;
  row.place = order_.insert(order_.end(), name);
  return row;
}

void RequestLedger::EvictOldest() {
  for (auto name = order_.begin(); name != order_.end(); ++name) {
    const auto found = rows_.find(*name);
    Row& row = found->second;
    if (row.state == RequestRunState::kRunning) continue;
    if (row.keyed) fence_floor_ = std::max(fence_floor_, row.fence);
    if (!row.keyed) newest_evicted_at_ = std::max(newest_evicted_at_, row.begun_at);
    EvictAnswer(&row);
    order_.erase(name);
    rows_.erase(found);
    return;
  }
}

void RequestLedger::StoreAnswer(Row* row, const ServiceAnswer& answer) {
  const size_t limit = row->keyed ? limits_.max_answer_bytes : limits_.max_unkeyed_answer_bytes;
  if (answer.body.size() > limit) return;
  row->answer = answer;
  answer_bytes_ += answer.body.size();
  answered_.push_back(*row->place);
  EvictOldestAnswers();
}

void RequestLedger::EvictAnswer(Row* row) {
  answer_bytes_ -= row->answer.body.size();
  row->answer = {};
}

void RequestLedger::EvictOldestAnswers() {
  const bool too_many = answered_.size() > limits_.max_rows;
  if (too_many) answered_.pop_front();
  while (answer_bytes_ > limits_.max_answer_bytes && answered_.size() > 1) {
    const auto oldest = rows_.find(answered_.front());
    answered_.pop_front();
    if (oldest != rows_.end()) EvictAnswer(&oldest->second);
  }
}

}  // namespace turmericshift
