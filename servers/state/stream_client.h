// One stream of the log as seen by one process: a writer that groups records into few appends, a
// reader that feeds a fold in the log's order, and the meeting of both: a record counts as written
// when it is read back.
#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/metrics.h"
#include "core/thread.h"
#include "servers/platform/log_service.h"
#include "servers/state/record.h"

namespace turmericshift {

// What a fold made of a record.
struct FoldVerdict {
  bool accepted = true;
  // Why it is void, for the writer; the same for every reader.
  std::string reason;
};

// State built from a stream's records in order. Apply must depend on nothing but the records.
class Fold {
 public:
  virtual ~Fold() = default;
  virtual FoldVerdict Apply(const Record& record, Sequence sequence) = 0;
};

// Where a record ended up.
struct Written {
  Sequence sequence = kNoSequence;
  FoldVerdict verdict;
};

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

class StreamClient {
 public:
  // `service` and `fold` must outlive the client. The fold is called on the reader's thread.
  StreamClient(Stream stream, LogService* service, Fold* fold, MetricsRegistry* metrics);
  // Stops both threads; records still waiting fail with outcome unknown.
  ~StreamClient();
  StreamClient(const StreamClient&) = delete;
  StreamClient& operator=(const StreamClient&) = delete;

  // Appends `record` and waits until the fold has it.
  // Throws Error(kLogUnavailable): outcome not_run when it was surely not appended, otherwise
  // unknown; Error(kOverloaded) when too many records wait already.
  Written Write(const Record& record, Duration timeout);

  // Sends `record` in the background, again and again until it is read back or `keep_trying` is
  // over. For records whose loss costs a question later, never a promise. Returns false when too
  // many records wait already.
  bool Post(const Record& record, Duration keep_trying);

  // Tells both threads to end without waiting for them, so that several streams end side by side
  // and not one long-poll after another.
  void BeginStop();

  StreamView view() const;
  // Waits until the view has been fresh once; returns whether it has.
  bool WaitUntilFresh(Duration limit);

 private:
  struct Waiter;

  void RunWriter();
  void RunReader();
  // One read and its application; returns false after a failure.
  bool ReadOnce(Offset* next);
  void ApplyEntry(const LogEntry& entry);
  void AppendGroup(const std::vector<std::shared_ptr<Waiter>>& group);
  // Sleeps unless the client stops meanwhile.
  void Pause(Duration duration);

  const Stream stream_;
  LogService* const service_;
  Fold* const fold_;
  Counter* const appends_;
  Counter* const append_failures_;
  Counter* const read_failures_;
  Distribution* const group_size_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::deque<std::shared_ptr<Waiter>> queue_;
  // Records sent or about to be, by id, until read back or given up.
  std::map<std::string, std::shared_ptr<Waiter>> waiting_;
  StreamView view_;

  Thread writer_;
  Thread reader_;
};

}  // namespace turmericshift
