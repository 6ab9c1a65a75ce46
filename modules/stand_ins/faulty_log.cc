#include "modules/stand_ins/faulty_log.h"

#include "core/error.h"

namespace turmericshift {

Offset FaultyLog::Append(const std::string& stream, const std::string& bytes, Duration timeout) {
  const LogFaults now = faults();
  if (now.appends_fail) {
    throw Error(ErrorKind::kLogUnavailable, Outcome::kNotRun, "log is unreachable");
  }
  const Offset offset = log_->Append(stream, bytes, timeout);
  if (now.append_answers_lost) {
    throw Error(ErrorKind::kLogUnavailable, Outcome::kUnknown, "log answer was lost");
  }
  return offset;
}

LogBatch FaultyLog::Read(const std::string& stream, Offset from, Duration wait, Duration timeout) {
  RequireReads();
  LogBatch batch = log_->Read(stream, from, wait, timeout);
  // Drops the answer if read faults were set while the read was waiting.
  RequireReads();
  return batch;
}

Offset FaultyLog::FirstKept(const std::string& stream, Duration timeout) {
  RequireReads();
  return log_->FirstKept(stream, timeout);
}

void FaultyLog::SetFaults(const LogFaults& faults) {
  const std::lock_guard<std::mutex> lock(mutex_);
  faults_ = faults;
}

LogFaults FaultyLog::faults() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return faults_;
}

void FaultyLog::RequireReads() const {
  if (faults().reads_fail) throw Error(ErrorKind::kLogUnavailable, "log is unreachable");
}

}  // namespace turmericshift
