// Runs the planner of one availability zone. One entry at a time is the zone's active planner,
// under an epoch from the log that serves as a fencing token. The service claims this leadership,
// feeds the ZonePlanner with reports from agents and records from the log, and carries out its
// plans. docs/notes/planner-duty.md and docs/notes/gangs.md describe the protocol.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/failure_episode.h"
#include "core/metrics.h"
#include "servers/entry/agent_directory.h"
#include "servers/planner/claim_rule.h"
#include "servers/planner/gang_runner.h"
#include "servers/planner/live_attempt.h"
#include "servers/planner/report_table.h"
#include "servers/planner/zone_planner.h"
#include "servers/state/record_writer.h"
#include "servers/state/replicated_config.h"
#include "servers/state/replicated_jobs.h"

namespace turmericshift {

struct PlannerOptions {
  std::string zone;
  // The name and the zone of this entry.
  std::string process;
  std::string own_zone;
  std::string policy = "first_fit";
  // Tasks on an agent that has not reported for this long are considered lost.
  Duration agent_timeout = std::chrono::seconds(5);
};

class ZonePlannerService {
 public:
  // Runs work that may block, either immediately or later, on any thread. If it throws, the work
  // must not run; the service passes it again in its next round.
  using Executor = std::function<void(std::function<void()>)>;

  // All pointers must outlive the service.
  ZonePlannerService(const PlannerOptions& options, AgentDirectory* directory, RecordWriter* jobs,
                     const ReplicatedJobs* replicated_jobs,
                     const ReplicatedConfig* replicated_config, GangRunner* runner,
                     Executor executor, MetricsRegistry* metrics);
  // Waits for all work that was passed to the executor.
  ~ZonePlannerService();
  ZonePlannerService(const ZonePlannerService&) = delete;
  ZonePlannerService& operator=(const ZonePlannerService&) = delete;

  // Runs one round: processes new reports and records and carries out a new plan. Blocks only for
  // the policy's decision.
  void Step(Time now);
  // Starts no more attempts and steps down, with a record in the log, once no start is in progress.
  // Running attempts continue, and the next planner adopts them. Call Step until is_leader() is
  // false.
  void Leave();

  // True if work on the executor has finished and its completion waits for the next Step.
  bool has_completions() const;
  bool is_leader() const;
  // Why the job waits; "" if it does not wait or this entry does not know.
  std::string WaitReasonFor(const std::string& job) const;
  // The number of the job's running attempt; 0 if none.
  int64_t RunningAttempt(const std::string& job) const;

 private:
  using Completion = std::function<void(Time now)>;
  // A record about a job that this planner has finished with, to be written to the log.
  struct PendingRecord {
    Record record;
    // The attempt whose task reports the agents may drop once the record is written.
    GangAttempt attempt_to_forget;
    bool writing = false;
    Time retry_at{};
  };

  // Runs `work` on the executor and its completion in the next round. The completion is skipped if
  // the epoch has changed meanwhile. If the work throws, the service steps down.
  void RunAsync(std::function<Completion()> work);
  // Passes waiting work to the executor until the executor refuses it.
  void PassWaitingWork();
  void ChangeInFlight(int change);
  // Ends the leadership or claim whose work has failed in an unknown way.
  void OnWorkFailed();
  void RunCompletions(Time now);
  // Returns whether this entry is the active planner. Claims leadership if the claim rule says so.
  bool EnsureLeadership(const std::vector<AgentState>& agents, Time now);
  void Claim(Sequence after);
  void BecomeLeader(Sequence epoch, Time now);
  void StepDown(const std::string& reason);
  void ReleaseLeadershipWhenIdle();

  // Returns the agents that have reported recently and follow this planner's epoch, so that they
  // reject calls of earlier planners.
  std::vector<AgentState> ConfirmedAgents(const std::vector<AgentState>& agents, Time now);
  void SyncWorkers(const std::vector<AgentState>& confirmed, Time now);
  void SyncJobs(const ReportTable& table, Time now);
  // Determines the outcome of a job that an earlier planner may have started. Returns whether the
  // outcome is known.
  bool ResolvePreviousAttempt(const JobRecord& job, const ReportTable& table, Time now);
  void AdoptAttempt(const JobRecord& job, const ReportedAttempt& found, Time now);
  void TrackAttempt(LiveAttempt* attempt, const ReportTable& table, Time now);
  void BeginEnding(LiveAttempt* attempt, AttemptEnd end, Time now);
  void RequestStop(LiveAttempt* attempt);
  // Returns whether the attempt has ended and can be removed from attempts_.
  bool ContinueEnding(LiveAttempt* attempt, const ReportTable& table, Time now);
  bool FinishEnding(LiveAttempt* attempt, const ReportTable& table, Time now);
  void ClearStartRecord(LiveAttempt* attempt);
  void DropStaleReports(const ReportTable& table);

  void CarryOut(const Plan& plan, Time now);
  void BeginStart(const StartDecision& start, Time now);
  void OnStartFinished(const std::string& job, int64_t number, const GangStartResult& result,
                       bool start_recorded, Time now);
  void Stop(const StopDecision& stop, Time now);
  void RenewLeases(const std::vector<AgentState>& confirmed, Time now);
  void MoveWaitingJobs(Time now);

  // Queues a record that must be written even if the log is down for long.
  void QueueRecord(const std::string& job, const Record& record,
                   const GangAttempt& attempt_to_forget);
  void EndJob(const std::string& job, int64_t number, JobState state, const std::string& reason,
              const GangAttempt& attempt_to_forget);
  void WritePendingRecords(Time now);
  void OnRecordWritten(const std::string& job, const RecordVerdict& verdict);

  LiveAttempt* Find(const std::string& job, int64_t number);
  Duration lease() const;
  // The time by which a lease that began at `from` has expired at its agent, even if the agent's
  // clock runs slower than this entry's.
  Time LeaseExpiry(Time from) const;
  // The time by which an agent that has never reported to this planner has stopped everything that
  // earlier planners started. Such an agent may follow an earlier planner for one lease after the
  // claim, and the last lease that the agent was granted lasts one lease more.
  Time UnreportedLeaseExpiry() const;
  Duration Jitter();
  void LogJob(const char* event, const GangAttempt& gang) const;

  const PlannerOptions options_;
  AgentDirectory* const directory_;
  RecordWriter* const jobs_;
  const ReplicatedJobs* const replicated_jobs_;
  const ReplicatedConfig* const replicated_config_;
  GangRunner* const runner_;
  const Executor executor_;
  Distribution* const decide_seconds_;

  mutable std::mutex mutex_;
  ClaimRule claim_rule_;
  bool claiming_ = false;
  bool leaving_ = false;
  bool releasing_ = false;
  Sequence epoch_ = kNoSequence;
  Time claimed_at_{};
  // True once every agent of the zone has reported under this epoch, or the leases of the agents
  // that have not reported have expired.
  bool all_agents_reported_ = false;
  Time last_renewal_{};
  int64_t start_count_ = 0;
  std::unique_ptr<ZonePlanner> planner_;
  std::map<std::string, LiveAttempt> attempts_;
  // Open jobs of which no attempt that an earlier planner started can still run without being known
  // here.
  std::set<std::string> resolved_;
  std::map<std::string, std::string> checkpoints_;
  Time next_move_at_{};
  std::map<std::string, PendingRecord> pending_records_;
  // Attempts whose remaining task reports are being dropped.
  std::set<ReportTable::Key> reports_being_dropped_;
  // Workers whose calls timed out, with the time until which they get no new work.
  std::map<std::string, Time> avoided_until_;
  std::minstd_rand jitter_;
  std::deque<std::function<void()>> waiting_work_;
  FailureEpisode work_starts_;

  mutable std::mutex completions_mutex_;
  std::condition_variable completions_changed_;
  int in_flight_ = 0;
  std::vector<Completion> completions_;
};

}  // namespace turmericshift
