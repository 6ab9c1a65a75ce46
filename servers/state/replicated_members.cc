#include "servers/state/replicated_members.h"

#include <nlohmann/json.hpp>

namespace turmericshift {

RecordVerdict ReplicatedMembers::Apply(const Record& record, Sequence /*sequence*/) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (const auto* joined = std::get_if<MemberJoined>(&record)) {
    members_[joined->process] = *joined;
    return {};
  }
  const auto* left = std::get_if<MemberLeft>(&record);
  if (left == nullptr) return {false, "not a member record"};
  const auto found = members_.find(left->process);
  // A delayed MemberLeft of an earlier incarnation must not remove the present one.
  if (found == members_.end() || found->second.incarnation != left->incarnation) {
    return {false, "this incarnation of the process is not a member"};
  }
  members_.erase(found);
  return {};
}

nlohmann::json ReplicatedMembers::Snapshot() const {
  nlohmann::json list = nlohmann::json::array();
  for (const MemberJoined& member : members()) list.push_back(RecordToJson(member));
  return list;
}

void ReplicatedMembers::Restore(const nlohmann::json& state) {
  const std::lock_guard<std::mutex> lock(mutex_);
  members_.clear();
  for (const nlohmann::json& json : state) {
    const auto member = std::get<MemberJoined>(RecordFromJson(json));
    members_[member.process] = member;
  }
}

std::vector<MemberJoined> ReplicatedMembers::members() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<MemberJoined> result;
  for (const auto& [process, member] : members_) result.push_back(member);
  return result;
}

}  // namespace turmericshift
