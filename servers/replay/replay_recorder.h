// Writes what happened in a replay as the daemons' JSON log lines, in the trace's time, so that the
// checks of histories and the burn report read a replay as they read a production log.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "servers/history/history_event.h"
#include "servers/replay/replay_platform.h"

namespace turmericshift {

class ReplayRecorder {
 public:
  // Times count from `start`.
  explicit ReplayRecorder(Time start) : start_(start) {}

  void Write(HistoryEventKind kind, nlohmann::json fields, Time now);
  // One line for each worker that holds members of the attempt, or only for `only_worker`.
  void WriteMembers(HistoryEventKind kind, const ReplayAttempt& attempt, Time now,
                    const std::string& only_worker = "");

  const std::vector<std::string>& lines() const { return lines_; }
  History ToHistory(const std::string& name) const;

 private:
  const Time start_;
  std::vector<std::string> lines_;
};

}  // namespace turmericshift
