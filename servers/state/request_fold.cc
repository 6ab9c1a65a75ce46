#include "servers/state/request_fold.h"

#include <nlohmann/json.hpp>

namespace turmericshift {
namespace {

std::string FullKey(const std::string& workspace, const std::string& key) {
  return workspace + "/" + key;
}

}  // namespace

FoldVerdict RequestFold::Apply(const Record& record, Sequence sequence) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (const auto* claim = std::get_if<RequestClaimed>(&record)) return Take(*claim, sequence);
  if (const auto* ended = std::get_if<RequestEnded>(&record)) return Take(*ended);
  return {false, "not a request record"};
}

FoldVerdict RequestFold::Take(const RequestClaimed& claim, Sequence sequence) {
  const auto [slot, fresh] = requests_.try_emplace(FullKey(claim.workspace, claim.key));
  RequestState& state = slot->second;
  if (!fresh && state.ended) return {false, "the request has ended"};
  if (!fresh && claim.attempt != state.claim.attempt + 1) {
    return {false, "another attempt owns the key"};
  }
  if (fresh && claim.attempt != 1) {
    requests_.erase(slot);
    return {false, "the first attempt is unknown"};
  }
  state.claim = claim;
  state.fence = sequence;
  return {};
}

FoldVerdict RequestFold::Take(const RequestEnded& ended) {
  const auto found = requests_.find(FullKey(ended.workspace, ended.key));
  if (found == requests_.end()) return {false, "no such claim"};
  RequestState& state = found->second;
  if (state.ended) return {false, "the request has ended"};
  if (state.claim.attempt != ended.attempt) return {false, "another attempt owns the key"};
  state.ended = ended;
  return {};
}

nlohmann::json RequestFold::Snapshot() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [key, state] : requests_) {
    nlohmann::json json = {{"claim", RecordToJson(state.claim)}, {"fence", state.fence}};
    if (state.ended) json["ended"] = RecordToJson(*state.ended);
    list.push_back(std::move(json));
  }
  return list;
}

void RequestFold::Restore(const nlohmann::json& state) {
  const std::lock_guard<std::mutex> lock(mutex_);
  requests_.clear();
  for (const nlohmann::json& json : state) {
    RequestState request;
    request.claim = std::get<RequestClaimed>(RecordFromJson(json.at("claim")));
    request.fence = json.at("fence").get<Sequence>();
    if (json.contains("ended")) {
      request.ended = std::get<RequestEnded>(RecordFromJson(json.at("ended")));
    }
    requests_[FullKey(request.claim.workspace, request.claim.key)] = std::move(request);
  }
}

std::optional<RequestState> RequestFold::Find(const std::string& workspace,
                                              const std::string& key) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = requests_.find(FullKey(workspace, key));
  if (found == requests_.end()) return std::nullopt;
  return found->second;
}

}  // namespace turmericshift
