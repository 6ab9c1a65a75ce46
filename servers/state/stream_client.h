// Client of one log stream: a writer that batches records into few appends, and a reader that
// applies the log to a replicated state. A record counts as written once the reader has read it
// back.
#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/metrics.h"
#include "core/thread.h"
#include "servers/platform/log_service.h"
#include "servers/state/append_budget.h"
#include "servers/state/record.h"
#include "servers/state/record_writer.h"
#include "servers/state/state_replica.h"

namespace turmericshift {

// How current this process's view of a stream is.
struct StreamView {
  // Start time of the newest read that reached the head. All entries accepted before this time are
  // applied.
  Time fresh_at{};
  bool ever_fresh = false;
  // Reads have been failing since `failing_since`.
  bool failing = false;
  Time failing_since{};
  Offset next = 0;
};

struct StreamOptions {
  // Long-poll wait of a read at the head for new entries. A shorter wait detects a failing log
  // earlier.
  Duration long_poll_wait = std::chrono::milliseconds(1000);
  // Time that a read may take in addition to `long_poll_wait`.
  Duration read_timeout = std::chrono::milliseconds(3000);
  Duration append_timeout = std::chrono::milliseconds(3000);
  // Null: appends are not rate limited.
  AppendBudget* budget = nullptr;
  // A snapshot is written after this many entries or this time, whichever comes first. Both must be
  // well within the log's retention.
  int64_t snapshot_entries = 5000;
  Duration snapshot_period = std::chrono::minutes(10);
  // Each process waits a random time up to this before it writes a snapshot, and skips the snapshot
  // if another process has written one meanwhile.
  Duration snapshot_jitter = std::chrono::seconds(20);
};

class StreamClient : public RecordWriter {
 public:
  // `service` and `replicated_state` must outlive the client. The state is updated on the reader's
  // thread.
  StreamClient(Stream stream, LogService* service, ReplicatedState* replicated_state,
               MetricsRegistry* metrics, const StreamOptions& options = {});
  // Stops all threads. Pending writes fail with outcome unknown.
  ~StreamClient() override;
  StreamClient(const StreamClient&) = delete;
  StreamClient& operator=(const StreamClient&) = delete;

  WriteResult Write(const Record& record, Duration timeout) override;
  // Like Write, for several records, which share one append if they fit. On an error, outcome
  // unknown means that any of the records may have been appended.
  std::vector<WriteResult> WriteAll(const std::vector<Record>& records, Duration timeout);

  // Appends `record` in the background, retrying until an append succeeds or `retry_timeout` has
  // passed. Only for records that may be lost at the cost of a later query, not for records that a
  // promise depends on. Returns false if too many records are queued.
  bool Post(const Record& record, Duration retry_timeout);

  // Writes a snapshot, or the missing parts of an interrupted one, if it is due at `now`. To be
  // called about once a second by one thread. Returns whether a complete snapshot was written.
  // Throws as Write does.
  bool WriteSnapshotIfDue(Time now, int64_t wall_ms);
  // The state and its offset, for comparing processes at equal offsets.
  SnapshotState TakeSnapshot() const { return replica_.TakeSnapshot(0); }

  // Asks all threads to end without waiting for them, so that several streams stop in parallel
  // instead of waiting for one long poll after another.
  void BeginStop();

  const std::string& name() const { return name_; }
  StreamView view() const;
  // Waits up to `limit` until a read has reached the head of the stream for the first time. Returns
  // whether this has happened.
  bool WaitUntilFresh(Duration limit);

 private:
  struct PendingRecord;
  using Group = std::vector<std::shared_ptr<PendingRecord>>;

  void StartThreads();
  void RunWriter();
  Group CollectGroup();
  void AppendGroup(const Group& group);
  void RunReader();
  // Reads once and applies the entries. Returns false after a failure.
  bool ReadOnce();
  void ApplyBatch(const LogBatch& batch);
  void ApplyEntry(const LogEntry& entry);
  // Finds the offset to read from. Restores the newest snapshot if the log has dropped entries that
  // were not read yet.
  void FindReadOffset();
  std::optional<SnapshotState> ScanForSnapshot(Offset from, Offset head);
  bool SnapshotIsDue(Time now, int64_t wall_ms);
  // Sleeps for `duration` or until the client stops. BackOff sleeps for a random time that doubles
  // with `failures`.
  void Pause(Duration duration);
  void BackOff(int failures);

  const Stream stream_;
  const std::string name_;
  const StreamOptions options_;
  LogService* const service_;
  StateReplica replica_;
  Counter* const appends_;
  Counter* const append_failures_;
  Counter* const read_failures_;
  Counter* const read_bytes_;
  Counter* const rejected_records_;
  Gauge* const queued_;
  Distribution* const group_size_;
  Distribution* const write_seconds_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::minstd_rand random_;
  std::deque<std::shared_ptr<PendingRecord>> queue_;
  // Records queued or sent, by id, until they are read back or given up.
  std::map<std::string, std::shared_ptr<PendingRecord>> pending_;
  StreamView view_;
  bool read_offset_known_ = false;
  int consecutive_append_failures_ = 0;
  // Parts still to be written. Used only by the thread that calls WriteSnapshotIfDue.
  std::vector<SnapshotPart> snapshot_parts_;
  Time snapshot_due_at_{};

  std::vector<Thread> writers_;
  Thread reader_;
};

}  // namespace turmericshift
