#include "servers/state/stream_client.h"

#include <algorithm>
#include <optional>

#include "core/error.h"
#include "core/logging.h"

namespace turmericshift {
namespace {

constexpr size_t kMaxQueued = 10000;
constexpr size_t kMaxGroup = 512;
constexpr Duration kReadWait = std::chrono::milliseconds(1000);
constexpr Duration kCallTimeout = std::chrono::milliseconds(3000);
constexpr Duration kAppendInterval = std::chrono::milliseconds(12);
constexpr Duration kFirstPause = std::chrono::milliseconds(50);
constexpr Duration kLongestPause = std::chrono::milliseconds(2000);

}  // namespace

struct StreamClient::Waiter {
  Record record;
  // An append was begun, so the record may land even if every answer fails.
  bool sent = false;
  bool done = false;
  bool abandoned = false;
  Written written;
  // Set for a posted record: it is given up by itself.
  std::optional<Time> give_up;
};

StreamClient::StreamClient(Stream stream, LogService* service, Fold* fold, MetricsRegistry* metrics)
    : stream_(stream),
      service_(service),
      fold_(fold),
      appends_(&metrics->counter(std::string("log_appends_") + StreamName(stream))),
      append_failures_(&metrics->counter(std::string("log_append_failures_") + StreamName(stream))),
      read_failures_(&metrics->counter(std::string("log_read_failures_") + StreamName(stream))),
      group_size_(&metrics->distribution(std::string("log_group_records_") + StreamName(stream))) {
  writer_ = Thread(std::string("write-") + StreamName(stream), [this] { RunWriter(); });
  reader_ = Thread(std::string("read-") + StreamName(stream), [this] { RunReader(); });
}

StreamClient::~StreamClient() {
  BeginStop();
  writer_.Join();
  reader_.Join();
}

void StreamClient::BeginStop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
}

Written StreamClient::Write(const Record& record, Duration timeout) {
  auto waiter = std::make_shared<Waiter>();
  waiter->record = record;
  const std::string& id = RecordId(record);
  std::unique_lock<std::mutex> lock(mutex_);
  if (queue_.size() >= kMaxQueued) {
    throw Error(ErrorKind::kOverloaded, "too many records wait for the log");
  }
  queue_.push_back(waiter);
  waiting_[id] = waiter;
  changed_.notify_all();
  changed_.wait_for(lock, timeout, [&] { return waiter->done || stopping_; });
  waiting_.erase(id);
  if (waiter->done) return waiter->written;
  // The writer must not send it from here on, or "not run" would be untrue.
  waiter->abandoned = true;
  throw Error(ErrorKind::kLogUnavailable, waiter->sent ? Outcome::kUnknown : Outcome::kNotRun,
              std::string("the log did not take a record of stream ") + StreamName(stream_));
}

bool StreamClient::Post(const Record& record, Duration keep_trying) {
  auto waiter = std::make_shared<Waiter>();
  waiter->record = record;
  waiter->give_up = DefaultClock().Now() + keep_trying;
  const std::lock_guard<std::mutex> lock(mutex_);
  if (queue_.size() >= kMaxQueued) return false;
  queue_.push_back(waiter);
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

void StreamClient::RunWriter() {
  Time last_append{};
  while (true) {
    std::vector<std::shared_ptr<Waiter>> group;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
    }
    // The first record after a quiet time goes at once; under load the pause gathers a group, as
    // the log takes several hundred appends a second from all processes together.
    Pause(last_append + kAppendInterval - DefaultClock().Now());
    {
      std::unique_lock<std::mutex> lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
      if (stopping_) return;
      while (!queue_.empty() && group.size() < kMaxGroup) {
        const std::shared_ptr<Waiter> waiter = queue_.front();
        queue_.pop_front();
        if (waiter->abandoned || waiter->done) continue;
        waiter->sent = true;
        group.push_back(waiter);
      }
    }
    last_append = DefaultClock().Now();
    if (!group.empty()) AppendGroup(group);
  }
}

void StreamClient::AppendGroup(const std::vector<std::shared_ptr<Waiter>>& group) {
  std::vector<Record> records;
  records.reserve(group.size());
  for (const auto& waiter : group) records.push_back(waiter->record);
  group_size_->Record(static_cast<double>(group.size()));
  try {
    appends_->Add();
    service_->Append(StreamName(stream_), EncodeRecords(records), kCallTimeout);
    return;
  } catch (const Error& error) {
    append_failures_->Add();
    const bool surely_not = error.outcome() == Outcome::kNotRun;
    const std::lock_guard<std::mutex> lock(mutex_);
    // Sent again until its writer gives up: a second copy is void in every fold.
    for (const auto& waiter : group) {
      if (surely_not) waiter->sent = false;
      if (waiter->give_up && DefaultClock().Now() > *waiter->give_up) continue;
      if (!waiter->abandoned && !waiter->done) queue_.push_back(waiter);
    }
  }
  Pause(kFirstPause);
}

void StreamClient::RunReader() {
  Offset next = kNoOffset;
  Duration pause = kFirstPause;
  while (true) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (stopping_) return;
    }
    if (ReadOnce(&next)) {
      pause = kFirstPause;
      continue;
    }
    Pause(pause);
    pause = std::min(pause * 2, kLongestPause);
  }
}

bool StreamClient::ReadOnce(Offset* next) {
  const Time begun = DefaultClock().Now();
  try {
    if (*next == kNoOffset) *next = service_->FirstKept(StreamName(stream_), kCallTimeout);
    // The first reads do not wait at the head, so that a starting process knows it is current.
    const Duration wait = view().ever_fresh ? kReadWait : Duration::zero();
    const LogBatch batch = service_->Read(StreamName(stream_), *next, wait, wait + kCallTimeout);
    for (const LogEntry& entry : batch.entries) {
      ApplyEntry(entry);
      *next = entry.offset + 1;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    view_.failing = false;
    view_.next = *next;
    if (*next >= batch.head) {
      view_.fresh_at = begun;
      view_.ever_fresh = true;
    }
    changed_.notify_all();
    return true;
  } catch (const Error& error) {
    read_failures_->Add();
    LogEvent(LogLevel::kWarning, "log_read_failed",
             {{"stream", StreamName(stream_)}, {"error", error.what()}});
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!view_.failing) view_.failing_since = begun;
    view_.failing = true;
    return false;
  }
}

void StreamClient::ApplyEntry(const LogEntry& entry) {
  for (const PlacedRecord& placed : DecodeRecords(entry.bytes)) {
    const Sequence sequence = SequenceOf(entry.offset, placed.place);
    const FoldVerdict verdict = fold_->Apply(placed.record, sequence);
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = waiting_.find(RecordId(placed.record));
    if (found == waiting_.end() || found->second->done) continue;
    found->second->written = {sequence, verdict};
    found->second->done = true;
    changed_.notify_all();
  }
}

}  // namespace turmericshift
