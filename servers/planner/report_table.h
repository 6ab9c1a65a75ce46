// Groups the task reports of a zone's agents by attempt.
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

// All task reports of one attempt of a job.
struct ReportedAttempt {
  std::string job;
  int64_t attempt = 0;
  std::vector<ReportedTask> tasks;

  // The number of tasks in `phase`.
  int Count(TaskPhase phase) const;
  // The number of tasks that run, throttled tasks included.
  int running() const;
  // The number of tasks that are done, failed or stopped.
  int ended() const;
  bool guaranteed() const;
  // The workers on which a task failed, each listed once.
  std::vector<std::string> FailedOn() const;
  // The lowest progress among the attempt's tasks.
  double progress() const;
  // The checkpoint of the task with the lowest progress; empty unless every task has a checkpoint.
  std::string checkpoint() const;
  std::vector<TaskOnWorker> placement() const;
};

class ReportTable {
 public:
  explicit ReportTable(const std::vector<AgentState>& agents);

  // Null if no agent reports this attempt.
  const ReportedAttempt* Find(const std::string& job, int64_t attempt) const;
  // The attempt of the job with the highest number; null if no agent reports the job.
  const ReportedAttempt* Newest(const std::string& job) const;

  using Key = std::pair<std::string, int64_t>;
  const std::map<Key, ReportedAttempt>& attempts() const { return attempts_; }

 private:
  std::map<Key, ReportedAttempt> attempts_;
};

}  // namespace turmericshift
