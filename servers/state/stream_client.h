// One stream of the log as seen by one process: a writer that groups records into few appends, a
// reader that feeds a fold in the log's order, and the meeting of both: a record counts as written
// when it is read back.
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
  // A read that was begun at this time reached the head; nothing accepted earlier is missing.
  Time fresh_at{};
  bool ever_fresh = false;
  // Reads fail at present, since `failing_since`.
  bool failing = false;
  Time failing_since{};
  Offset next = 0;
};

struct StreamOptions {
  // A read at the head waits this long for news. Shorter makes a failing log known earlier.
  Duration long_poll_wait = std::chrono::milliseconds(1000);
  // Beyond the wait.
  Duration read_timeout = std::chrono::milliseconds(3000);
  Duration append_timeout = std::chrono::milliseconds(3000);
  // Null: appends are not limited.
  AppendBudget* budget = nullptr;
  // A snapshot is written after so many entries or so long a time, whichever comes first. Both must
  // be well inside the log's retention.
  int64_t snapshot_entries = 5000;
  Duration snapshot_period = std::chrono::minutes(10);
  // Processes wait a random part of this before they write one, and skip it if another was quicker.
  Duration snapshot_jitter = std::chrono::seconds(20);
};

class StreamClient : public RecordWriter {
 public:
  // `service` and `fold` must outlive the client. The fold is called on the reader's thread.
  StreamClient(Stream stream, LogService* service, ReplicatedState* fold, MetricsRegistry* metrics,
               const StreamOptions& options = {});
  // Stops all threads; records still waiting fail with outcome unknown.
  ~StreamClient() override;
  StreamClient(const StreamClient&) = delete;
  StreamClient& operator=(const StreamClient&) = delete;

  WriteResult Write(const Record& record, Duration timeout) override;
  // As Write, for records that travel together; they share one append if they fit. On an error,
  // outcome unknown means that any of them may have been appended.
  std::vector<WriteResult> WriteAll(const std::vector<Record>& records, Duration timeout);

  // Sends `record` in the background, again and again until the log has taken it or `keep_trying`
  // is over. For records whose loss costs a question later, never a promise. Returns false when too
  // many records wait already.
  bool Post(const Record& record, Duration keep_trying);

  // Writes what is due of a snapshot at `now`; for a thread that calls it every second or so.
  // Returns whether a whole one was written. Throws as Write.
  bool WriteSnapshotIfDue(Time now, int64_t wall_ms);
  // The state after the entries before its offset, to compare processes at equal offsets.
  SnapshotState TakeSnapshot() const { return host_.TakeSnapshot(0); }

  // Tells both threads to end without waiting for them, so that several streams end side by side
  // and not one long-poll after another.
  void BeginStop();

  const std::string& name() const { return name_; }
  StreamView view() const;
  // Waits until the view has been fresh once; returns whether it has.
  bool WaitUntilFresh(Duration limit);

 private:
  struct Waiter;
  using Group = std::vector<std::shared_ptr<Waiter>>;

  void RunWriter();
  Group TakeGroup();
  void AppendGroup(const Group& group);
  void RunReader();
  // One read and its application; returns false after a failure.
  bool ReadOnce();
  void ApplyBatch(const LogBatch& batch);
  void ApplyEntry(const LogEntry& entry);
  // Finds the offset to read from, restoring the newest snapshot if the stream's begin is gone.
  void Locate();
  std::optional<SnapshotState> ScanForSnapshot(Offset from, Offset head);
  bool SnapshotIsDue(Time now, int64_t wall_ms);
  // Sleeps unless the client stops meanwhile. With backoff: doubles with `failures`, random.
  void Pause(Duration duration);
  void BackOff(int failures);

  const Stream stream_;
  const std::string name_;
  const StreamOptions options_;
  LogService* const service_;
  StateReplica host_;
  Counter* const appends_;
  Counter* const append_failures_;
  Counter* const read_failures_;
  Counter* const read_bytes_;
  Counter* const voids_;
  Gauge* const queued_;
  Distribution* const group_size_;
  Distribution* const write_seconds_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::minstd_rand random_;
  std::deque<std::shared_ptr<Waiter>> queue_;
  // Records sent or about to be, by id, until read back or given up.
  std::map<std::string, std::shared_ptr<Waiter>> waiting_;
  StreamView view_;
  bool located_ = false;
  int append_failures_in_row_ = 0;
  // Used by WriteSnapshotIfDue's one caller only.
  std::vector<SnapshotPart> snapshot_parts_;
  Time snapshot_due_at_{};

  std::vector<Thread> writers_;
  Thread reader_;
};

}  // namespace turmericshift
