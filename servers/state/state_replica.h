// A fold with what every stream needs around it: each record counts once, snapshots go in and out.
// No threads and no log here, so that tests can cut a stream anywhere.
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

// Where a record ended up.
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
  // `fold` must outlive the host.
  StateReplica(const std::string& stream, ReplicatedState* fold) : stream_(stream), fold_(fold) {}

  // The entry must be the one at next(). Returns its records, without repeated ones.
  std::vector<AppliedRecord> Apply(const LogEntry& entry);
  // The repeated records of the entry that was applied last, with what became of their first
  // copies, as far as these were applied here a short while ago. Gives them once.
  std::vector<AppliedRecord> TakeRepeated();

  // The state after every entry before next().
  SnapshotState TakeSnapshot(int64_t wall_ms) const;
  // Throws Error(kInvalidInput) for what TakeSnapshot never made.
  void Restore(const SnapshotState& snapshot);

  // The entry to apply next.
  Offset next() const;
  // Starts at an offset that needs no earlier entries: the stream's very first.
  void StartAt(Offset offset);

  // The newest whole snapshot that passed by, without its bytes; none yet: covers is kNoOffset.
  SnapshotState newest_snapshot() const;

 private:
  // What became of the newest records, for the writers of second copies.
  class RecentVerdicts {
   public:
    void Add(const std::string& id, const WriteResult& written);
    // Null for one that is not known.
    const WriteResult* Find(const std::string& id) const;

   private:
    std::deque<std::string> order_;
    std::unordered_map<std::string, WriteResult> known_;
  };

  const std::string stream_;
  ReplicatedState* const fold_;
  // Held while the fold changes, so that a snapshot belongs to one offset.
  mutable std::mutex mutex_;
  Offset next_ = 0;
  RecordWindow window_;
  RecentVerdicts recent_;
  std::vector<AppliedRecord> repeated_;
  SnapshotAssembler assembler_;
  SnapshotState newest_snapshot_;
};

}  // namespace turmericshift
