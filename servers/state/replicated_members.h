// Entries that have joined, replicated from the members stream. Their liveness is not part of this
// state; it is known from heartbeats.
#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "servers/state/replicated_state.h"

namespace turmericshift {

class ReplicatedMembers : public ReplicatedState {
 public:
  RecordVerdict Apply(const Record& record, Sequence sequence) override;
  nlohmann::json Snapshot() const override;
  void Restore(const nlohmann::json& state) override;

  // Members that have not left, ordered by process name.
  std::vector<MemberJoined> members() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, MemberJoined> members_;
};

}  // namespace turmericshift
