// State built from a stream's records in the log's order.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "servers/state/record.h"

namespace turmericshift {

// What a fold made of a record.
struct RecordVerdict {
  bool accepted = true;
  // Why it is void, for the writer; the same for every reader.
  std::string reason;
};

// Apply must depend on nothing but the records, so that all processes agree at equal offsets. What
// Apply reads must be part of Snapshot: fold(all) equals fold(snapshot, then the rest), at every
// cut; snapshot_test.cc holds every fold to that.
class ReplicatedState {
 public:
  virtual ~ReplicatedState() = default;
  virtual RecordVerdict Apply(const Record& record, Sequence sequence) = 0;
  // The whole state. Equal states give equal JSON.
  virtual nlohmann::json Snapshot() const = 0;
  // Replaces the state. Throws Error or the JSON library's exceptions for what Snapshot never made.
  virtual void Restore(const nlohmann::json& state) = 0;
};

}  // namespace turmericshift
