// Snapshots of a stream's state inside the stream itself, in parts that fit a log entry.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "servers/state/record.h"

namespace turmericshift {

// What a whole snapshot holds.
struct SnapshotState {
  // The state after every entry before this offset.
  Offset covers = kNoOffset;
  int64_t wall_ms = 0;
  std::string bytes;
};

inline constexpr size_t kSnapshotPartBytes = size_t{256} * 1024;

// Parts with ids that follow from stream and offset, so that a part written twice is one record.
std::vector<SnapshotPart> SplitSnapshot(const std::string& stream, const SnapshotState& state);

// Puts parts together as a reader meets them. A writer may have died between two parts, so a
// snapshot counts once it is whole and its digest holds.
class SnapshotAssembler {
 public:
  // The snapshot that this part completes, if it is newer than all whole ones before.
  std::optional<SnapshotState> Add(const SnapshotPart& part);

 private:
  struct Pending {
    std::map<int, std::string> parts;
  };
  std::map<Offset, Pending> pending_;
  Offset newest_whole_ = kNoOffset;
};

}  // namespace turmericshift
