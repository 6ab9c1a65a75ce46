// Snapshots of a stream's state, stored in the stream itself in parts that fit into a log entry.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "servers/state/record.h"

namespace turmericshift {

// A complete snapshot.
struct SnapshotState {
  // The snapshot is the state after all entries before this offset.
  Offset covers = kNoOffset;
  int64_t wall_ms = 0;
  std::string bytes;
};

inline constexpr size_t kSnapshotPartBytes = size_t{256} * 1024;

// Splits a snapshot into parts. The ids of the parts derive from stream and offset, so that a part
// written twice counts as one record.
std::vector<SnapshotPart> SplitSnapshot(const std::string& stream, const SnapshotState& state);

// Assembles snapshots from parts as a reader meets them. Parts may be missing if a writer died, so
// a snapshot is used only if it is complete and its digest matches.
class SnapshotAssembler {
 public:
  // Returns the snapshot that this part completes, if that snapshot is newer than all snapshots
  // completed before.
  std::optional<SnapshotState> Add(const SnapshotPart& part);

 private:
  struct Pending {
    std::map<int, std::string> parts;
  };
  std::map<Offset, Pending> pending_;
  Offset newest_complete_ = kNoOffset;
};

}  // namespace turmericshift
