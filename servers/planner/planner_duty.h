// The planner's duty for one availability zone, held by one entry at a time under an epoch from the
// log: feeds the ZonePlanner with what agents and the log say and carries its plans out.
#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "core/metrics.h"
#include "core/thread.h"
#include "servers/entry/agent_directory.h"
#include "servers/planner/gang_runner.h"
#include "servers/planner/zone_planner.h"
#include "servers/state/config_fold.h"
#include "servers/state/job_fold.h"
#include "servers/state/stream_client.h"

namespace turmericshift {

struct PlannerOptions {
  std::string zone;
  // This entry's name.
  std::string process;
  std::string policy = "cells";
  Duration period = std::chrono::milliseconds(100);
  Duration agent_silence = std::chrono::seconds(5);
};

class PlannerDuty {
 public:
  // All pointers must outlive the duty.
  PlannerDuty(const PlannerOptions& options, AgentDirectory* directory, StreamClient* jobs,
              const JobFold* job_fold, const ConfigFold* config_fold, MetricsRegistry* metrics);
  ~PlannerDuty();
  PlannerDuty(const PlannerDuty&) = delete;
  PlannerDuty& operator=(const PlannerDuty&) = delete;

  bool holds_duty() const;
  std::string WaitReasonFor(const std::string& job) const;
  // The job's attempt that runs now; 0 if none.
  int64_t RunningAttempt(const std::string& job) const;

 private:
  void Run();
  void Step(Time now);
  // Claims the duty when nobody has it; returns whether this entry holds it.
  bool EnsureDuty();
  void SyncWorkers(Time now);
  void SyncJobs(Time now);
  void SyncReports(Time now);
  // Looks at one running job's reports and ends its attempt when they say so.
  void Follow(const RunningJob& job, const std::map<TaskId, TaskReport>& reports, Time now);
  void End(const RunningJob& job, JobState state, const std::string& reason, Time now);
  void CarryOut(const Plan& plan, Time now);
  void RenewAll(Time now);
  // By wall time, for log lines only.
  int64_t MillisSinceSubmitted(const std::string& job) const;

  const PlannerOptions options_;
  AgentDirectory* const directory_;
  StreamClient* const jobs_;
  const JobFold* const job_fold_;
  const ConfigFold* const config_fold_;
  Distribution* const decide_seconds_;
  const GangRunner runner_;
  Sequence epoch_ = kNoSequence;
  Time renewed_{};

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  std::unique_ptr<ZonePlanner> planner_;
  Thread thread_;
};

}  // namespace turmericshift
