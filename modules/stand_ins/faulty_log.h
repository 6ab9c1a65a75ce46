// One process's connection to a shared log, with faults that affect this process alone. For tests
// and benchmarks only.
#pragma once

#include <mutex>

#include "modules/stand_ins/memory_log.h"

namespace turmericshift {

class FaultyLog : public LogService {
 public:
  // `log` must outlive this object.
  explicit FaultyLog(LogService* log) : log_(log) {}

  Offset Append(const std::string& stream, const std::string& bytes, Duration timeout) override;
  LogBatch Read(const std::string& stream, Offset from, Duration wait, Duration timeout) override;
  Offset FirstKept(const std::string& stream, Duration timeout) override;

  void SetFaults(const LogFaults& faults);

 private:
  LogFaults faults() const;
  void RequireReads() const;

  LogService* const log_;
  mutable std::mutex mutex_;
  LogFaults faults_;
};

}  // namespace turmericshift
