#include "servers/state/snapshot.h"

#include "core/digest.h"
#include "core/logging.h"

namespace turmericshift {
namespace {

// Returns the end of the part that begins at `from`. The JSON of a snapshot may contain multi-byte
// characters, and each part is encoded as JSON again, so parts are cut only where a character
// begins.
size_t PartEnd(const std::string& bytes, size_t from) {
  size_t end = std::min(bytes.size(), from + kSnapshotPartBytes);
  constexpr unsigned kContinuationMask = 0xC0;
  constexpr unsigned kContinuation = 0x80;
  while (end < bytes.size() &&
         (static_cast<unsigned char>(bytes[end]) & kContinuationMask) == kContinuation) {
    --end;
  }
  return end;
}

}  // namespace

std::vector<SnapshotPart> SplitSnapshot(const std::string& stream, const SnapshotState& state) {
  std::vector<SnapshotPart> parts;
  const std::string digest = Digest(state.bytes);
  size_t from = 0;
  do {
    const size_t end = PartEnd(state.bytes, from);
    SnapshotPart part;
    part.covers = state.covers;
    part.part = static_cast<int>(parts.size());
    part.digest = digest;
    part.bytes = state.bytes.substr(from, end - from);
    part.wall_ms = state.wall_ms;
    part.id =
        "snapshot-" + stream + "-" + std::to_string(state.covers) + "-" + std::to_string(part.part);
    parts.push_back(std::move(part));
    from = end;
  } while (from < state.bytes.size());
  for (SnapshotPart& part : parts) part.parts = static_cast<int>(parts.size());
  return parts;
}

std::optional<SnapshotState> SnapshotAssembler::Add(const SnapshotPart& part) {
  if (part.covers <= newest_complete_) return std::nullopt;
  std::map<int, std::string>& parts = pending_[part.covers].parts;
  parts[part.part] = part.bytes;
  if (static_cast<int>(parts.size()) < part.parts) return std::nullopt;
  SnapshotState state{part.covers, part.wall_ms, ""};
  for (const auto& [index, bytes] : parts) state.bytes += bytes;
  if (Digest(state.bytes) != part.digest) {
    LogEvent(LogLevel::kError, "snapshot_damaged", {{"covers", part.covers}});
    pending_.erase(part.covers);
    return std::nullopt;
  }
  newest_complete_ = part.covers;
  pending_.erase(pending_.begin(), pending_.upper_bound(part.covers));
  return state;
}

}  // namespace turmericshift
