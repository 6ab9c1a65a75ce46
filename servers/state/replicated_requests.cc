#include "servers/state/replicated_requests.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "core/digest.h"

namespace turmericshift {
namespace {

constexpr size_t kHashDigits = 16;

// Must give the same value in every process and release, since snapshots contain it.
uint64_t HashOf(const std::string& full_key) {
  return std::stoull(Digest(full_key).substr(0, kHashDigits), nullptr, 16);
}

std::string FullKey(const std::string& workspace, const std::string& key) {
  return workspace + "/" + key;
}

}  // namespace

RecordVerdict ReplicatedRequests::Apply(const Record& record, Sequence sequence) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (const auto* claim = std::get_if<RequestClaimed>(&record)) {
    return ApplyRecord(*claim, sequence);
  }
  if (const auto* ended = std::get_if<RequestEnded>(&record)) return ApplyRecord(*ended);
  return {false, "not a request record"};
}

RecordVerdict ReplicatedRequests::ApplyRecord(const RequestClaimed& claim, Sequence sequence) {
  const std::string full_key = FullKey(claim.workspace, claim.key);
  if (expired_.contains(HashOf(full_key))) {
    return {false, "the key has expired and its outcome is no longer stored"};
  }
  const auto [slot, inserted] = requests_.try_emplace(full_key);
  RequestState& state = slot->second;
  if (inserted && claim.attempt != 1) {
    requests_.erase(slot);
    return {false, "no earlier attempt of the key is known"};
  }
  if (!inserted && state.ended) return {false, "the request has ended"};
  if (!inserted && claim.attempt != state.claim.attempt + 1) {
    return {false, "another attempt owns the key"};
  }
  state.claim = claim;
  state.fence = sequence;
  state.never_ran = false;
  return {};
}

RecordVerdict ReplicatedRequests::ApplyRecord(const RequestEnded& ended) {
  const std::string full_key = FullKey(ended.workspace, ended.key);
  const auto found = requests_.find(full_key);
  if (found == requests_.end()) return {false, "the key was not claimed"};
  RequestState& state = found->second;
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
  EnforceLimits();
  return {};
}

void ReplicatedRequests::EnforceLimits() {
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
    Expire({HashOf(oldest), found->second.claim.wall_ms});
    requests_.erase(found);
  }
}

void ReplicatedRequests::Expire(const ExpiredKey& key) {
  if (!expired_.insert(key.hash).second) return;
  expired_order_.push_back(key);
  if (expired_order_.size() <= limits_.max_expired) return;
  const ExpiredKey& oldest = expired_order_.front();
  forgotten_wall_ms_ = std::max(forgotten_wall_ms_, oldest.claimed_wall_ms);
  expired_.erase(oldest.hash);
  expired_order_.pop_front();
}

nlohmann::json ReplicatedRequests::Snapshot() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [key, state] : requests_) {
    nlohmann::json json = {{"claim", RecordToJson(state.claim)}, {"fence", state.fence}};
    if (state.ended) json["ended"] = RecordToJson(*state.ended);
    if (state.never_ran) json["never_ran"] = true;
    list.push_back(std::move(json));
  }
  nlohmann::json expired = nlohmann::json::array();
  for (const ExpiredKey& key : expired_order_) {
    expired.push_back({{"hash", key.hash}, {"claimed_ms", key.claimed_wall_ms}});
  }
  return {{"requests", std::move(list)},
          {"ended_order", ended_order_},
          {"expired", std::move(expired)},
          {"forgotten_until_ms", forgotten_wall_ms_}};
}

void ReplicatedRequests::Restore(const nlohmann::json& state) {
  const std::lock_guard<std::mutex> lock(mutex_);
  requests_.clear();
  with_body_.clear();
  expired_.clear();
  expired_order_.clear();
  body_bytes_ = 0;
  forgotten_wall_ms_ = state.at("forgotten_until_ms").get<int64_t>();
  for (const nlohmann::json& json : state.at("requests")) {
    RequestState request;
    request.claim = std::get<RequestClaimed>(RecordFromJson(json.at("claim")));
    request.fence = json.at("fence").get<Sequence>();
    if (json.contains("ended")) {
      request.ended = std::get<RequestEnded>(RecordFromJson(json.at("ended")));
      body_bytes_ += request.ended->body.size();
    }
    request.never_ran = json.contains("never_ran");
    requests_[FullKey(request.claim.workspace, request.claim.key)] = std::move(request);
  }
  ended_order_ = state.at("ended_order").get<std::deque<std::string>>();
  for (const std::string& key : ended_order_) {
    if (!requests_.at(key).ended->body.empty()) with_body_.push_back(key);
  }
  for (const nlohmann::json& json : state.at("expired")) {
    Expire({json.at("hash").get<uint64_t>(), json.at("claimed_ms").get<int64_t>()});
  }
}

std::optional<RequestState> ReplicatedRequests::Find(const std::string& workspace,
                                                     const std::string& key) const {
  const std::string full_key = FullKey(workspace, key);
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = requests_.find(full_key);
  if (found != requests_.end()) return found->second;
  if (!expired_.contains(HashOf(full_key))) return std::nullopt;
  RequestState state;
  state.expired = true;
  return state;
}

int64_t ReplicatedRequests::forgotten_until_ms() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return forgotten_wall_ms_;
}

}  // namespace turmericshift
