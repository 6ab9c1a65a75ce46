#include "servers/replay/replay_recorder.h"

#include <map>
#include <nlohmann/json.hpp>

namespace turmericshift {

void ReplayRecorder::Write(HistoryEventKind kind, nlohmann::json fields, Time now) {
  fields["time_ms"] = duration_cast<std::chrono::milliseconds>(now - start_).count();
  fields["event"] = HistoryEventName(kind);
  lines_.push_back(fields.dump());
}

void ReplayRecorder::WriteMembers(HistoryEventKind kind, const ReplayAttempt& attempt, Time now,
                                  const std::string& only_worker) {
  std::map<std::string, int> by_worker;
  for (const TaskOnWorker& task : attempt.tasks) ++by_worker[task.worker];
  for (const auto& [worker, tasks] : by_worker) {
    if (!only_worker.empty() && worker != only_worker) continue;
    Write(kind,
          {{"job", attempt.job},
           {"attempt", attempt.attempt},
           {"worker", worker},
           {"zone", attempt.zone},
           {"tasks", tasks}},
          now);
  }
}

History ReplayRecorder::ToHistory(const std::string& name) const {
  History history;
  for (size_t index = 0; index < lines_.size(); ++index) {
    AddHistoryLine(name + ":" + std::to_string(index + 1), lines_[index], &history);
  }
  SortHistory(&history);
  return history;
}

}  // namespace turmericshift
