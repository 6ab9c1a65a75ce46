#include "modules/stand_ins/memory_keyed_log.h"

#include <algorithm>

#include "core/error.h"

namespace turmericshift {
namespace {

constexpr size_t kPageRecords = 500;
// Number of answers cached per producer. A repeated append gets the cached answer.
constexpr size_t kCachedAnswers = 5;

}  // namespace

KeyedPage MemoryKeyedLog::Newest(const std::string& topic, const std::string& after,
                                 Duration /*timeout*/) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const Topic& state = topics_[topic];
  KeyedPage page;
  page.end = state.end();
  for (auto row = state.newest.upper_bound(after); row != state.newest.end(); ++row) {
    if (page.records.size() == kPageRecords) {
      page.more = true;
      break;
    }
    page.records.push_back(row->second);
  }
  return page;
}

KeyedBatch MemoryKeyedLog::Read(const std::string& topic, Offset from, Duration wait,
                                Duration /*timeout*/) {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_for(lock, wait, [&] { return topics_[topic].end() > from; });
  const Topic& state = topics_[topic];
  if (from < state.first_kept) throw Error(ErrorKind::kTrimmed, "offset precedes the history");
  KeyedBatch batch;
  batch.end = state.end();
  batch.first_kept = state.first_kept;
  for (Offset at = from; at < state.end(); ++at) {
    batch.records.push_back(state.history[static_cast<size_t>(at - state.first_kept)]);
  }
  return batch;
}

AppendResult MemoryKeyedLog::Append(const std::string& topic,
                                    const std::vector<KeyedRecord>& records,
                                    const AppendGuard& guard, Duration /*timeout*/) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Topic& state = topics_[topic];
  if (!guard.producer.empty()) {
    Producer& producer = state.producers[guard.producer];
    if (guard.epoch < producer.epoch) throw Error(ErrorKind::kFenced, "fenced by a newer epoch");
    if (guard.epoch == producer.epoch) {
      const auto cached = producer.answers.find(guard.sequence);
      if (cached != producer.answers.end()) return cached->second;
      if (guard.sequence != producer.sequence + 1) {
        throw Error(ErrorKind::kConflict, "append sequence number is not the next one");
      }
    }
  }
  if (guard.expected_end && *guard.expected_end != state.end()) {
    throw Error(ErrorKind::kConflict, "the topic does not end at the expected offset");
  }
  const AppendResult answer = {state.end(), state.end() + static_cast<Offset>(records.size())};
  for (const KeyedRecord& record : records) {
    KeyedRecord stored = record;
    stored.offset = state.end();
    state.history.push_back(stored);
    if (stored.value.empty()) {
      state.newest.erase(stored.key);
    } else {
      state.newest[stored.key] = stored;
    }
  }
  if (!guard.producer.empty()) {
    Producer& producer = state.producers[guard.producer];
    if (guard.epoch > producer.epoch) producer.answers.clear();
    producer.epoch = guard.epoch;
    producer.sequence = guard.sequence;
    producer.answers[guard.sequence] = answer;
    if (producer.answers.size() > kCachedAnswers) producer.answers.erase(producer.answers.begin());
  }
  ++appends_;
  changed_.notify_all();
  return answer;
}

void MemoryKeyedLog::DropHistory(const std::string& topic) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Topic& state = topics_[topic];
  state.first_kept = state.end();
  state.history.clear();
}

int64_t MemoryKeyedLog::appends() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return appends_;
}

KeyedPage FaultyKeyedLog::Newest(const std::string& topic, const std::string& after,
                                 Duration timeout) {
  RequireReachable();
  return log_->Newest(topic, after, timeout);
}

KeyedBatch FaultyKeyedLog::Read(const std::string& topic, Offset from, Duration wait,
                                Duration timeout) {
  RequireReachable();
  KeyedBatch batch = log_->Read(topic, from, wait, timeout);
  // Drops the answer if the fault was set while the read was waiting.
  RequireReachable();
  return batch;
}

AppendResult FaultyKeyedLog::Append(const std::string& topic,
                                    const std::vector<KeyedRecord>& records,
                                    const AppendGuard& guard, Duration timeout) {
  RequireReachable();
  const AppendResult answer = log_->Append(topic, records, guard, timeout);
  if (faults().append_answers_lost) {
    throw Error(ErrorKind::kLogUnavailable, Outcome::kUnknown, "store answer was lost");
  }
  return answer;
}

void FaultyKeyedLog::SetFaults(const KeyedLogFaults& faults) {
  const std::lock_guard<std::mutex> lock(mutex_);
  faults_ = faults;
}

KeyedLogFaults FaultyKeyedLog::faults() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return faults_;
}

void FaultyKeyedLog::RequireReachable() const {
  if (faults().refused) {
    throw Error(ErrorKind::kLogUnavailable, Outcome::kNotRun, "store refuses calls from this VM");
  }
}

}  // namespace turmericshift
