#include "servers/state/stream_client.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <utility>

#include "core/error.h"
#include "core/logging.h"

namespace turmericshift {
namespace {

constexpr size_t kMaxQueuedRecords = 10000;
constexpr size_t kMaxGroupRecords = 512;
constexpr size_t kMaxGroupBytes = size_t{1} << 20;
// Two writers, so that an append that hangs does not hold up the records behind it.
constexpr int kWriters = 2;
constexpr Duration kMinBackoff = std::chrono::milliseconds(50);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(2000);
constexpr Duration kSnapshotPartTimeout = std::chrono::seconds(5);

}  // namespace

struct StreamClient::PendingRecord {
  std::string id;
  std::string encoded;
  // An append that may have taken effect was made. Stays set: a later append that certainly failed
  // does not show that an earlier append, whose answer was lost, failed as well.
  bool maybe_appended = false;
  bool in_flight = false;
  bool done = false;
  bool abandoned = false;
  WriteResult written;
  // Time after which a record from Post is not retried any more. Empty for records from Write.
  std::optional<Time> retry_deadline;

  bool maybe_in_log() const { return maybe_appended || in_flight; }
};

StreamClient::StreamClient(Stream stream, LogService* service, ReplicatedState* replicated_state,
                           MetricsRegistry* metrics, const StreamOptions& options)
    : stream_(stream),
      name_(StreamName(stream)),
      options_(options),
      service_(service),
      replica_(name_, replicated_state),
      appends_(&metrics->counter("log_appends_" + name_)),
      append_failures_(&metrics->counter("log_append_failures_" + name_)),
      read_failures_(&metrics->counter("log_read_failures_" + name_)),
      read_bytes_(&metrics->counter("log_read_bytes_" + name_)),
      rejected_records_(&metrics->counter("log_void_records_" + name_)),
      queued_(&metrics->gauge("log_queued_records_" + name_)),
      group_size_(&metrics->distribution("log_group_records_" + name_)),
      write_seconds_(&metrics->distribution("log_write_seconds_" + name_)),
      random_(std::random_device{}()) {
  try {
    StartThreads();
  } catch (...) {
    // The destructor does not run, and nothing else tells the started threads to end.
    BeginStop();
    throw;
  }
}

StreamClient::~StreamClient() {
  BeginStop();
  for (Thread& writer : writers_) writer.Join();
  reader_.Join();
}

void StreamClient::StartThreads() {
  for (int index = 0; index < kWriters; ++index) {
    writers_.emplace_back(ThreadRole::kEssential, "write-" + name_, [this] { RunWriter(); });
  }
  reader_ = Thread(ThreadRole::kEssential, "read-" + name_, [this] { RunReader(); });
}

void StreamClient::BeginStop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
}

WriteResult StreamClient::Write(const Record& record, Duration timeout) {
  return WriteAll({record}, timeout).front();
}

std::vector<WriteResult> StreamClient::WriteAll(const std::vector<Record>& records,
                                                Duration timeout) {
  Group group;
  for (const Record& record : records) {
    auto pending = std::make_shared<PendingRecord>();
    pending->id = RecordId(record);
    pending->encoded = EncodeRecord(record);
    group.push_back(std::move(pending));
  }
  const Time begun = DefaultClock().Now();
  std::unique_lock<std::mutex> lock(mutex_);
  if (queue_.size() + group.size() > kMaxQueuedRecords) {
    throw Error(ErrorKind::kOverloaded, "too many records are queued for the log");
  }
  for (const auto& pending : group) {
    queue_.push_back(pending);
    pending_[pending->id] = pending;
  }
  queued_->Set(static_cast<double>(queue_.size()));
  changed_.notify_all();
  const auto all_done = [&group] {
    return std::all_of(group.begin(), group.end(), [](const auto& each) { return each->done; });
  };
  changed_.wait_for(lock, timeout, [&] { return stopping_ || all_done(); });
  bool maybe_in_log = false;
  std::vector<WriteResult> written;
  for (const auto& pending : group) {
    pending_.erase(pending->id);
    // The writer threads must not send the record from here on, or outcome not_run would be wrong.
    pending->abandoned = !pending->done;
    maybe_in_log = maybe_in_log || pending->done || pending->maybe_in_log();
    written.push_back(pending->written);
  }
  if (!all_done()) {
    throw Error(ErrorKind::kLogUnavailable, maybe_in_log ? Outcome::kUnknown : Outcome::kNotRun,
                "the log did not confirm a record of stream " + name_);
  }
  write_seconds_->Record(Seconds(DefaultClock().Now() - begun));
  return written;
}

bool StreamClient::Post(const Record& record, Duration retry_timeout) {
  auto pending = std::make_shared<PendingRecord>();
  pending->id = RecordId(record);
  pending->encoded = EncodeRecord(record);
  pending->retry_deadline = DefaultClock().Now() + retry_timeout;
  const std::lock_guard<std::mutex> lock(mutex_);
  if (queue_.size() >= kMaxQueuedRecords) return false;
  queue_.push_back(pending);
  queued_->Set(static_cast<double>(queue_.size()));
  changed_.notify_all();
  return true;
}

StreamView StreamClient::view() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return view_;
}

bool StreamClient::WaitUntilFresh(Duration limit) {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_for(lock, limit, [this] { return view_.ever_fresh || stopping_; });
  return view_.ever_fresh;
}

void StreamClient::Pause(Duration duration) {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_for(lock, duration, [this] { return stopping_; });
}

void StreamClient::BackOff(int failures) {
  constexpr int kMaxDoublings = 6;
  Duration max_backoff = kMinBackoff * (1 << std::min(failures - 1, kMaxDoublings));
  max_backoff = std::min(max_backoff, kMaxBackoff);
  Duration pause;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    // Randomized, so that all processes do not return to the log at the same time.
    pause = Duration(std::uniform_int_distribution<int64_t>(max_backoff.count() / 2,
                                                            max_backoff.count())(random_));
  }
  Pause(pause);
}

void StreamClient::RunWriter() {
  while (true) {
    {
      std::unique_lock<std::mutex> lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
      if (stopping_) return;
    }
    if (options_.budget != nullptr) options_.budget->Acquire(stream_);
    // Collected after the wait for the budget, so that records queued meanwhile share the append.
    const Group group = CollectGroup();
    if (!group.empty()) AppendGroup(group);
  }
}

StreamClient::Group StreamClient::CollectGroup() {
  Group group;
  size_t bytes = 0;
  const std::lock_guard<std::mutex> lock(mutex_);
  while (!queue_.empty() && group.size() < kMaxGroupRecords && bytes < kMaxGroupBytes) {
    const std::shared_ptr<PendingRecord> pending = queue_.front();
    queue_.pop_front();
    if (pending->abandoned || pending->done) continue;
    pending->in_flight = true;
    bytes += pending->encoded.size();
    group.push_back(pending);
  }
  queued_->Set(static_cast<double>(queue_.size()));
  return group;
}

void StreamClient::AppendGroup(const Group& group) {
  std::vector<std::string> records;
  records.reserve(group.size());
  for (const auto& pending : group) records.push_back(pending->encoded);
  group_size_->Record(static_cast<double>(group.size()));
  int failures = 0;
  try {
    appends_->Add();
    service_->Append(name_, JoinEncoded(records), options_.append_timeout);
    const std::lock_guard<std::mutex> lock(mutex_);
    consecutive_append_failures_ = 0;
    for (const auto& pending : group) pending->maybe_appended = true;
    return;
  } catch (const Error& error) {
    append_failures_->Add();
    const bool not_appended = error.outcome() == Outcome::kNotRun;
    const std::lock_guard<std::mutex> lock(mutex_);
    failures = ++consecutive_append_failures_;
    // Appends the records again until their writers give up. Readers ignore duplicates.
    for (const auto& pending : group) {
      pending->in_flight = false;
      if (!not_appended) pending->maybe_appended = true;
      if (pending->retry_deadline && DefaultClock().Now() > *pending->retry_deadline) continue;
      if (!pending->abandoned && !pending->done) queue_.push_back(pending);
    }
  }
  BackOff(failures);
}

void StreamClient::RunReader() {
  int failures = 0;
  while (true) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (stopping_) return;
    }
    if (ReadOnce()) {
      failures = 0;
    } else {
      BackOff(++failures);
    }
  }
}

bool StreamClient::ReadOnce() {
  const Time begun = DefaultClock().Now();
  try {
    if (!read_offset_known_) FindReadOffset();
    // The first reads do not wait at the head, so that a starting process soon knows that it is
    // current.
    const Duration wait = view().ever_fresh ? options_.long_poll_wait : Duration::zero();
    const LogBatch batch =
        service_->Read(name_, replica_.next(), wait, wait + options_.read_timeout);
    ApplyBatch(batch);
    const std::lock_guard<std::mutex> lock(mutex_);
    view_.failing = false;
    view_.next = replica_.next();
    if (view_.next >= batch.head) {
      view_.fresh_at = begun;
      view_.ever_fresh = true;
    }
    changed_.notify_all();
    return true;
  } catch (const Error& error) {
    // The offset to read was trimmed from the log. The newest snapshot covers the missing entries.
    if (error.kind() == ErrorKind::kTrimmed) read_offset_known_ = false;
    read_failures_->Add();
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!view_.failing) {
      view_.failing_since = begun;
      LogEvent(LogLevel::kWarning, "log_read_failed", {{"stream", name_}, {"error", error.what()}});
    }
    view_.failing = true;
    return false;
  }
}

void StreamClient::ApplyBatch(const LogBatch& batch) {
  if (batch.head < replica_.next()) {
    // The replicated state must not continue from another log's records. Operators see this event
    // in the logs.
    LogEvent(LogLevel::kError, "log_went_back",
             {{"stream", name_}, {"head", batch.head}, {"read_up_to", replica_.next()}});
    throw Error(ErrorKind::kLogUnavailable,
                "the head of the log is before the next offset to read");
  }
  for (const LogEntry& entry : batch.entries) {
    if (entry.offset < replica_.next()) continue;
    if (entry.offset > replica_.next()) {
      throw Error(ErrorKind::kTrimmed, "entries are missing before the next offset in the log");
    }
    ApplyEntry(entry);
  }
}

void StreamClient::ApplyEntry(const LogEntry& entry) {
  read_bytes_->Add(static_cast<int64_t>(entry.bytes.size()));
  std::vector<AppliedRecord> applied = replica_.Apply(entry);
  for (const AppliedRecord& record : applied) {
    if (!record.written.verdict.accepted) rejected_records_->Add();
  }
  for (AppliedRecord& record : replica_.TakeDuplicates()) applied.push_back(std::move(record));
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const AppliedRecord& record : applied) {
    const auto found = pending_.find(record.id);
    if (found == pending_.end()) continue;
    found->second->written = record.written;
    found->second->done = true;
  }
  changed_.notify_all();
}

void StreamClient::FindReadOffset() {
  const Offset first = service_->FirstKept(name_, options_.read_timeout);
  std::optional<SnapshotState> snapshot;
  // As long as the log has all entries, replaying them is faster than restoring a snapshot and
  // replaying the rest; docs/notes/control.md has the figures.
  if (first > replica_.next()) {
    const Offset head = service_->Read(name_, first, {}, options_.read_timeout).head;
    const Offset recent = std::max(first, head - 2 * options_.snapshot_entries);
    snapshot = ScanForSnapshot(recent, head);
    if (!snapshot && recent > first) snapshot = ScanForSnapshot(first, head);
  }
  if (snapshot && snapshot->covers >= first && snapshot->covers > replica_.next()) {
    replica_.Restore(*snapshot);
    LogEvent(LogLevel::kInfo, "snapshot_restored",
             {{"stream", name_}, {"covers", snapshot->covers}, {"bytes", snapshot->bytes.size()}});
  } else if (replica_.next() < first) {
    LogEvent(LogLevel::kError, "snapshot_missing", {{"stream", name_}, {"first_kept", first}});
    throw Error(ErrorKind::kLogUnavailable,
                "no snapshot covers the entries that the log has trimmed");
  }
  read_offset_known_ = true;
}

std::optional<SnapshotState> StreamClient::ScanForSnapshot(Offset from, Offset head) {
  std::optional<SnapshotState> newest;
  SnapshotAssembler assembler;
  while (from < head) {
    const LogBatch batch = service_->Read(name_, from, {}, options_.read_timeout);
    if (batch.entries.empty()) break;
    for (const LogEntry& entry : batch.entries) {
      from = entry.offset + 1;
      read_bytes_->Add(static_cast<int64_t>(entry.bytes.size()));
      // Skips entries without snapshot parts undecoded, as decoding every entry twice would double
      // the start-up time.
      if (entry.bytes.find("\"snapshot_part\"") == std::string::npos) continue;
      for (const PlacedRecord& placed : DecodeRecords(entry.bytes)) {
        const auto* part = std::get_if<SnapshotPart>(&placed.record);
        if (part == nullptr) continue;
        if (auto complete = assembler.Add(*part)) newest = std::move(complete);
      }
    }
  }
  return newest;
}

bool StreamClient::SnapshotIsDue(Time now, int64_t wall_ms) {
  const StreamView view = this->view();
  const SnapshotState newest = replica_.newest_snapshot();
  const Offset covered = std::max<Offset>(newest.covers, 0);
  const auto period_ms = duration_cast<std::chrono::milliseconds>(options_.snapshot_period).count();
  // Also due without new entries: an old snapshot would be dropped by the log's retention.
  const bool due =
      view.ever_fresh && !view.failing && view.next > 0 &&
      (view.next - covered > options_.snapshot_entries || wall_ms - newest.wall_ms > period_ms);
  if (!due) {
    snapshot_due_at_ = {};
    return false;
  }
  if (snapshot_due_at_ == Time{}) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const int64_t spread = options_.snapshot_jitter.count();
    snapshot_due_at_ = now + Duration(std::uniform_int_distribution<int64_t>(0, spread)(random_));
  }
  return now >= snapshot_due_at_;
}

bool StreamClient::WriteSnapshotIfDue(Time now, int64_t wall_ms) {
  // Discards the remaining parts if another process, or this process, has completed a snapshot that
  // is at least as new.
  const Offset newest = replica_.newest_snapshot().covers;
  if (!snapshot_parts_.empty() && newest >= snapshot_parts_.front().covers) {
    snapshot_parts_.clear();
  }
  if (snapshot_parts_.empty()) {
    if (!SnapshotIsDue(now, wall_ms)) return false;
    snapshot_parts_ = SplitSnapshot(name_, replica_.TakeSnapshot(wall_ms));
  }
  const Offset covers = snapshot_parts_.front().covers;
  // After an interruption by an outage, resumes with the parts not yet written.
  while (!snapshot_parts_.empty()) {
    Write(snapshot_parts_.back(), kSnapshotPartTimeout);
    snapshot_parts_.pop_back();
  }
  LogEvent(LogLevel::kInfo, "snapshot_written", {{"stream", name_}, {"covers", covers}});
  return true;
}

}  // namespace turmericshift
