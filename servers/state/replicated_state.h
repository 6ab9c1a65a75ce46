// Interface of a state machine that is rebuilt by replaying the records of one log stream in order.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "servers/state/record.h"

namespace turmericshift {

// Result of applying one record.
struct RecordVerdict {
  bool accepted = true;
  // Why the record was rejected, reported to its writer. Every reader computes the same text.
  std::string reason;
};

// Apply must depend on nothing but the records, so that all processes hold the same state at the
// same offset. Everything that Apply reads must be part of Snapshot: replaying all records must
// equal restoring a snapshot and replaying the rest, wherever the snapshot was taken.
// snapshot_test.cc checks this for every replicated state.
class ReplicatedState {
 public:
  virtual ~ReplicatedState() = default;
  virtual RecordVerdict Apply(const Record& record, Sequence sequence) = 0;
  // Serializes the complete state. Equal states give equal JSON.
  virtual nlohmann::json Snapshot() const = 0;
  // Replaces the state. Throws Error or the JSON library's exceptions if Snapshot can't have
  // written `state`.
  virtual void Restore(const nlohmann::json& state) = 0;
};

}  // namespace turmericshift
