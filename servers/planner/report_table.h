// What the agents of a zone report of tasks, by attempt.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "servers/entry/agent_directory.h"
#include "servers/planner/zone_view.h"

namespace turmericshift {

struct ReportedTask {
  std::string worker;
  TaskReport report;
};

// All that is reported of one attempt of a job.
struct ReportedAttempt {
  std::string job;
  int64_t attempt = 0;
  std::vector<ReportedTask> tasks;

  // Tasks in `phase`.
  int Count(TaskPhase phase) const;
  // Tasks that run now.
  int running() const;
  // Tasks that are done, failed or stopped.
  int ended() const;
  bool guaranteed() const;
  // Workers at which a task failed, each once.
  std::vector<std::string> FailedOn() const;
  // Least progress among its tasks.
  double progress() const;
  // The checkpoint of the task that got least far; empty unless every task has one.
  std::string checkpoint() const;
  std::vector<TaskOnWorker> placement() const;
};

class ReportTable {
 public:
  explicit ReportTable(const std::vector<AgentState>& agents);

  // Null if nothing is reported of it.
  const ReportedAttempt* Find(const std::string& job, int64_t attempt) const;
  // The highest attempt that is reported of the job; null if none.
  const ReportedAttempt* Newest(const std::string& job) const;

  using Key = std::pair<std::string, int64_t>;
  const std::map<Key, ReportedAttempt>& attempts() const { return attempts_; }

 private:
  std::map<Key, ReportedAttempt> attempts_;
};

}  // namespace turmericshift
