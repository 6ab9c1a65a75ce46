// Replica of one stream's state: applies log entries to a ReplicatedState, ignores duplicate
// records, and writes and restores snapshots. Uses no threads and no log, so that tests can split a
// stream at any entry.
#pragma once

#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "servers/platform/log_service.h"
#include "servers/state/record_window.h"
#include "servers/state/replicated_state.h"
#include "servers/state/snapshot.h"

namespace turmericshift {

// Position of a written record in the log, and whether the record was accepted.
struct WriteResult {
  Sequence sequence = kNoSequence;
  RecordVerdict verdict;
};

struct AppliedRecord {
  std::string id;
  WriteResult written;
};

class StateReplica {
 public:
  // `replicated_state` must outlive the replica.
  StateReplica(const std::string& stream, ReplicatedState* replicated_state)
      : stream_(stream), replicated_state_(replicated_state) {}

  // Applies the entry at offset next(). Returns the entry's records without duplicates of earlier
  // records.
  std::vector<AppliedRecord> Apply(const LogEntry& entry);
  // Returns the duplicate records in the last applied entry, each with the result of its first
  // copy, and clears the list. A duplicate is left out if its first copy is no longer among the
  // most recent records applied here.
  std::vector<AppliedRecord> TakeDuplicates();

  // The state after all entries before next().
  SnapshotState TakeSnapshot(int64_t wall_ms) const;
  // Throws Error(kInvalidInput) if TakeSnapshot can't have written `snapshot`.
  void Restore(const SnapshotState& snapshot);

  // Offset of the entry to apply next.
  Offset next() const;
  // Sets the offset to start from, which must not depend on earlier entries: the first offset of
  // the stream.
  void StartAt(Offset offset);

  // Offset and time of the newest complete snapshot seen in the stream, without its bytes. `covers`
  // is kNoOffset if there was none.
  SnapshotState newest_snapshot() const;

 private:
  // Results of the most recent records, for writers that wait for the record of a duplicate append.
  class RecentVerdicts {
   public:
    void Add(const std::string& id, const WriteResult& written);
    // Returns null if the id is not among the recent records.
    const WriteResult* Find(const std::string& id) const;

   private:
    std::deque<std::string> order_;
    std::unordered_map<std::string, WriteResult> known_;
  };

  const std::string stream_;
  ReplicatedState* const replicated_state_;
  // Held while the state changes, so that a snapshot belongs to exactly one offset.
  mutable std::mutex mutex_;
  Offset next_ = 0;
  RecordWindow window_;
  RecentVerdicts recent_;
  std::vector<AppliedRecord> duplicates_;
  SnapshotAssembler assembler_;
  SnapshotState newest_snapshot_;
};

}  // namespace turmericshift
