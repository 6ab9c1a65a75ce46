// An in-memory stand-in for the platform's log, with the faults that the platform can have. For
// tests and dev mode only.
#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "servers/platform/log_service.h"

namespace turmericshift {

// Faults last until changed.
struct LogFaults {
  // Appends fail and have no effect.
  bool appends_fail = false;
  bool reads_fail = false;
  // Appends take effect, but their answers are lost.
  bool append_answers_lost = false;
  // Delay before each call.
  Duration delay{};
};

class MemoryLog : public LogService {
 public:
  Offset Append(const std::string& stream, const std::string& bytes, Duration timeout) override;
  LogBatch Read(const std::string& stream, Offset from, Duration wait, Duration timeout) override;
  Offset FirstKept(const std::string& stream, Duration timeout) override;

  void SetFaults(const LogFaults& faults);
  // Drops all entries of the stream before offset `first_kept`.
  void Trim(const std::string& stream, Offset first_kept);
  int64_t appends() const;

 private:
  struct StreamState {
    Offset first_kept = 0;
    std::vector<std::string> entries;
    Offset head() const { return first_kept + static_cast<Offset>(entries.size()); }
  };

  void Delay();

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  LogFaults faults_;
  int64_t appends_ = 0;
  std::map<std::string, StreamState> streams_;
};

}  // namespace turmericshift
