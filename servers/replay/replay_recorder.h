// Records the events of a replay as JSON log lines in the daemons' format, with the trace's time,
// so that history checks and the burn report read a replay in the same way as a production log.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "servers/history/history_event.h"
#include "servers/replay/replay_platform.h"

namespace turmericshift {

class ReplayRecorder {
 public:
  // Recorded times are relative to `start`.
  explicit ReplayRecorder(Time start) : start_(start) {}

  void Write(HistoryEventKind kind, nlohmann::json fields, Time now);
  // Writes one line for each worker that runs members of the attempt, or only for `only_worker`.
  void WriteMembers(HistoryEventKind kind, const ReplayAttempt& attempt, Time now,
                    const std::string& only_worker = "");

  const std::vector<std::string>& lines() const { return lines_; }
  History ToHistory(const std::string& name) const;

 private:
  const Time start_;
  std::vector<std::string> lines_;
};

}  // namespace turmericshift
