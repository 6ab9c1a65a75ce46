#include "modules/stand_ins/memory_log.h"

#include <algorithm>
#include <thread>

#include "core/error.h"

namespace turmericshift {
namespace {

constexpr size_t kMaxEntriesPerRead = 1000;

}  // namespace

Offset MemoryLog::Append(const std::string& stream, const std::string& bytes,
                         Duration /*timeout*/) {
  Delay();
  const std::lock_guard<std::mutex> lock(mutex_);
  if (faults_.appends_fail) {
    throw Error(ErrorKind::kLogUnavailable, Outcome::kNotRun, "the log is down");
  }
  StreamState& state = streams_[stream];
  state.entries.push_back(bytes);
  ++appends_;
  changed_.notify_all();
  if (faults_.append_answers_lost) {
    throw Error(ErrorKind::kLogUnavailable, Outcome::kUnknown, "log answer was lost");
  }
  return state.head() - 1;
}

LogBatch MemoryLog::Read(const std::string& stream, Offset from, Duration wait,
                         Duration /*timeout*/) {
  Delay();
  std::unique_lock<std::mutex> lock(mutex_);
  const auto ready = [&] { return faults_.reads_fail || streams_[stream].head() > from; };
  changed_.wait_for(lock, wait, ready);
  if (faults_.reads_fail) throw Error(ErrorKind::kLogUnavailable, "the log is down");
  StreamState& state = streams_[stream];
  if (from < state.first_kept) throw Error(ErrorKind::kTrimmed, "offset is no longer retained");
  LogBatch batch;
  batch.first_kept = state.first_kept;
  batch.head = state.head();
  const Offset end = std::min(batch.head, from + static_cast<Offset>(kMaxEntriesPerRead));
  for (Offset offset = from; offset < end; ++offset) {
    batch.entries.push_back(
        {offset, state.entries[static_cast<size_t>(offset - state.first_kept)]});
  }
  return batch;
}

Offset MemoryLog::FirstKept(const std::string& stream, Duration /*timeout*/) {
  Delay();
  const std::lock_guard<std::mutex> lock(mutex_);
  if (faults_.reads_fail) throw Error(ErrorKind::kLogUnavailable, "the log is down");
  return streams_[stream].first_kept;
}

void MemoryLog::SetFaults(const LogFaults& faults) {
  const std::lock_guard<std::mutex> lock(mutex_);
  faults_ = faults;
  changed_.notify_all();
}

void MemoryLog::Trim(const std::string& stream, Offset first_kept) {
  const std::lock_guard<std::mutex> lock(mutex_);
  StreamState& state = streams_[stream];
  if (first_kept <= state.first_kept) return;
  const Offset dropped = std::min(first_kept, state.head()) - state.first_kept;
  state.entries.erase(state.entries.begin(), state.entries.begin() + dropped);
  state.first_kept += dropped;
}

int64_t MemoryLog::appends() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return appends_;
}

void MemoryLog::Delay() {
  Duration delay;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    delay = faults_.delay;
  }
  if (delay > Duration::zero()) std::this_thread::sleep_for(delay);
}

}  // namespace turmericshift
