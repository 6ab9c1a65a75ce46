#include "servers/planner/report_table.h"

#include <algorithm>
#include <limits>
#include <set>

namespace turmericshift {

int ReportedAttempt::Count(TaskPhase phase) const {
  return static_cast<int>(std::count_if(tasks.begin(), tasks.end(), [&](const ReportedTask& task) {
    return task.report.phase == phase;
  }));
}

int ReportedAttempt::running() const {
  return Count(TaskPhase::kRunning) + Count(TaskPhase::kThrottled);
}

int ReportedAttempt::ended() const {
  return Count(TaskPhase::kDone) + Count(TaskPhase::kFailed) + Count(TaskPhase::kStopped);
}

bool ReportedAttempt::guaranteed() const {
  return std::all_of(tasks.begin(), tasks.end(),
                     [](const ReportedTask& task) { return task.report.guaranteed; });
}

std::vector<std::string> ReportedAttempt::FailedOn() const {
  std::set<std::string> workers;
  for (const ReportedTask& task : tasks) {
    if (task.report.phase == TaskPhase::kFailed) workers.insert(task.worker);
  }
  return {workers.begin(), workers.end()};
}

double ReportedAttempt::progress() const {
  double least = 1;
  for (const ReportedTask& task : tasks) least = std::min(least, task.report.progress);
  return least;
}

std::string ReportedAttempt::checkpoint() const {
  std::string chosen;
  double least = std::numeric_limits<double>::max();
  for (const ReportedTask& task : tasks) {
    if (task.report.checkpoint.empty()) return "";
    if (task.report.progress >= least) continue;
    least = task.report.progress;
    chosen = task.report.checkpoint;
  }
  return chosen;
}

std::vector<TaskOnWorker> ReportedAttempt::placement() const {
  std::vector<TaskOnWorker> placed;
  for (const ReportedTask& task : tasks) {
    TaskOnWorker here;
    here.task = task.report.id.task;
    here.worker = task.worker;
    here.accelerators = task.report.accelerators;
    placed.push_back(here);
  }
  return placed;
}

ReportTable::ReportTable(const std::vector<AgentState>& agents) {
  for (const AgentState& agent : agents) {
    for (const TaskReport& report : agent.beat.tasks) {
      ReportedAttempt& attempt = attempts_[{report.id.job, report.id.attempt}];
      attempt.job = report.id.job;
      attempt.attempt = report.id.attempt;
      attempt.tasks.push_back({agent.hello.process, report});
    }
  }
}

const ReportedAttempt* ReportTable::Find(const std::string& job, int64_t attempt) const {
  const auto found = attempts_.find({job, attempt});
  return found == attempts_.end() ? nullptr : &found->second;
}

const ReportedAttempt* ReportTable::Newest(const std::string& job) const {
  auto after = attempts_.upper_bound({job, std::numeric_limits<int64_t>::max()});
  if (after == attempts_.begin()) return nullptr;
  --after;
  return after->first.first == job ? &after->second : nullptr;
}

}  // namespace turmericshift
