#include "servers/state/member_fold.h"

namespace turmericshift {

FoldVerdict MemberFold::Apply(const Record& record, Sequence /*sequence*/) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (const auto* joined = std::get_if<MemberJoined>(&record)) {
    members_[joined->process] = *joined;
    return {};
  }
  const auto* left = std::get_if<MemberLeft>(&record);
  if (left == nullptr) return {false, "not a member record"};
  const auto found = members_.find(left->process);
  // A late goodbye of an earlier incarnation must not remove its successor.
  if (found == members_.end() || found->second.incarnation != left->incarnation) {
    return {false, "that incarnation is not a member"};
  }
  members_.erase(found);
  return {};
}

std::vector<MemberJoined> MemberFold::members() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<MemberJoined> result;
  for (const auto& [process, member] : members_) result.push_back(member);
  return result;
}

}  // namespace turmericshift
