#include "servers/state/request_fold.h"

#include <functional>

namespace turmericshift {
namespace {

// Two claims of one key cross only while both writers' views are fresh (the router requires that)
// and an append takes effect within its timeout, so they lie far closer together than this.
constexpr int64_t kCrossingMillis = 60'000;
// At the stream's very first entry nothing can have been trimmed.
constexpr Sequence kFirstSequences = kMaxRecordsPerEntry;

std::string FullKey(const std::string& workspace, const std::string& key) {
  return workspace + "/" + key;
}

}  // namespace

FoldVerdict RequestFold::Apply(const Record& record, Sequence sequence) {
  const std::lock_guard<std::mutex> lock(mutex_);
  NoteStart(record, sequence);
  if (const auto* claim = std::get_if<RequestClaimed>(&record)) return Take(*claim, sequence);
  if (const auto* ended = std::get_if<RequestEnded>(&record)) return Take(*ended);
  return {false, "not a request record"};
}

void RequestFold::NoteStart(const Record& record, Sequence sequence) {
  if (!begun_) {
    begun_ = true;
    trimmed_ = sequence >= kFirstSequences;
  }
  const auto* claim = std::get_if<RequestClaimed>(&record);
  if (trimmed_ && first_wall_ms_ == 0 && claim != nullptr) first_wall_ms_ = claim->wall_ms;
}

bool RequestFold::NearTrimmedStart(const RequestClaimed& claim) const {
  return trimmed_ && claim.wall_ms < first_wall_ms_ + kCrossingMillis;
}

FoldVerdict RequestFold::Take(const RequestClaimed& claim, Sequence sequence) {
  const std::string full_key = FullKey(claim.workspace, claim.key);
  if (expired_.contains(std::hash<std::string>{}(full_key))) {
    return {false, "the key is older than what is kept"};
  }
  const auto [slot, fresh] = requests_.try_emplace(full_key);
  RequestState& state = slot->second;
  if (fresh && (claim.attempt != 1 || NearTrimmedStart(claim))) {
    // An earlier claim may have been trimmed away, and this one may have lost against it. Taking
    // it for the owner would have its agent swear "never ran" while the other's target ran it.
    state.claim = claim;
    state.expired = true;
    return {false, "an earlier claim of this key is no longer kept"};
  }
  if (!fresh && state.expired) return {false, "the key is older than what is kept"};
  if (!fresh && state.ended) return {false, "the request has ended"};
  if (!fresh && claim.attempt != state.claim.attempt + 1) {
    return {false, "another attempt owns the key"};
  }
  state.claim = claim;
  state.fence = sequence;
  state.never_ran = false;
  return {};
}

FoldVerdict RequestFold::Take(const RequestEnded& ended) {
  const std::string full_key = FullKey(ended.workspace, ended.key);
  const auto found = requests_.find(full_key);
  if (found == requests_.end()) {
    if (trimmed_) Expire(full_key);
    return {false, "no such claim"};
  }
  RequestState& state = found->second;
  if (state.expired) return {false, "the key is older than what is kept"};
  if (state.ended) return {false, "the request has ended"};
  if (state.claim.attempt != ended.attempt) return {false, "another attempt owns the key"};
  if (ended.status == kNeverRanStatus) {
    state.never_ran = true;
    return {};
  }
  state.ended = ended;
  body_bytes_ += ended.body.size();
  ended_order_.push_back(full_key);
  if (!ended.body.empty()) with_body_.push_back(full_key);
  Shrink();
  return {};
}

void RequestFold::Shrink() {
  while (body_bytes_ > limits_.max_body_bytes && !with_body_.empty()) {
    const auto oldest = requests_.find(with_body_.front());
    with_body_.pop_front();
    if (oldest == requests_.end()) continue;
    body_bytes_ -= oldest->second.ended->body.size();
    oldest->second.ended->body.clear();
  }
  while (ended_order_.size() > limits_.max_ended) {
    const std::string oldest = ended_order_.front();
    ended_order_.pop_front();
    const auto found = requests_.find(oldest);
    body_bytes_ -= found->second.ended->body.size();
    requests_.erase(found);
    Expire(oldest);
  }
}

void RequestFold::Expire(const std::string& full_key) {
  const size_t hash = std::hash<std::string>{}(full_key);
  if (!expired_.insert(hash).second) return;
  expired_order_.push_back(hash);
  if (expired_order_.size() <= limits_.max_expired) return;
  expired_.erase(expired_order_.front());
  expired_order_.pop_front();
}

std::optional<RequestState> RequestFold::Find(const std::string& workspace,
                                              const std::string& key) const {
  const std::string full_key = FullKey(workspace, key);
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = requests_.find(full_key);
  if (found != requests_.end()) return found->second;
  if (!expired_.contains(std::hash<std::string>{}(full_key))) return std::nullopt;
  RequestState state;
  state.expired = true;
  return state;
}

int64_t RequestFold::keeps_since_ms() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return trimmed_ ? first_wall_ms_ + kCrossingMillis : 0;
}

}  // namespace turmericshift
