// The planner's duty for one availability zone, held by one entry at a time under an epoch from the
// log: feeds the ZonePlanner with what agents and the log say and carries its plans out.
// docs/notes/planner-duty.md and docs/notes/gangs.md give the protocol.
#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "servers/entry/agent_directory.h"
#include "servers/planner/claim_rule.h"
#include "servers/planner/gang_runner.h"
#include "servers/planner/live_attempt.h"
#include "servers/planner/report_table.h"
#include "servers/planner/zone_planner.h"
#include "servers/state/config_fold.h"
#include "servers/state/job_fold.h"
#include "servers/state/record_writer.h"

namespace turmericshift {

struct PlannerOptions {
  std::string zone;
  // This entry's name and zone.
  std::string process;
  std::string own_zone;
  std::string policy = "first_fit";
  // An agent that has been silent for this long has lost what ran there.
  Duration agent_silence = std::chrono::seconds(5);
};

class ZonePlannerService {
 public:
  // Runs work that may block, now or later, on any thread.
  using Executor = std::function<void(std::function<void()>)>;

  // All pointers must outlive the duty.
  ZonePlannerService(const PlannerOptions& options, AgentDirectory* directory, RecordWriter* jobs,
                     const JobFold* job_fold, const ConfigFold* config_fold, GangRunner* runner,
                     Executor executor, MetricsRegistry* metrics);
  // Waits for the work it has given to the executor.
  ~ZonePlannerService();
  ZonePlannerService(const ZonePlannerService&) = delete;
  ZonePlannerService& operator=(const ZonePlannerService&) = delete;

  // One round: what is new, what to do about it. Blocks on nothing but the policy's decision.
  void Step(Time now);
  // Starts nothing more and gives the zone up in the log once no start is under way. What runs goes
  // on, and the next planner finds it. Call Step until holds_duty() is false.
  void Leave();

  // Work given to the executor has ended: a round now makes use of it.
  bool has_news() const;
  bool holds_duty() const;
  // "" if it does not wait, or this entry can't know.
  std::string WaitReasonFor(const std::string& job) const;
  // The job's attempt that runs now; 0 if none.
  int64_t RunningAttempt(const std::string& job) const;

 private:
  using Posted = std::function<void(Time now)>;
  // What remains to be written about a job that this planner has done with.
  struct Recording {
    Record record;
    // Reports that may be dropped once it is written.
    GangOrder forget;
    bool writing = false;
    Time next_try{};
  };

  // Runs `work` on the executor and then, in the next round, what it returns, unless the epoch has
  // changed meanwhile.
  void Run(std::function<Posted()> work);
  void DrainPosted(Time now);
  // Whether this entry holds the duty; claims it where it should.
  bool EnsureDuty(const std::vector<AgentState>& agents, Time now);
  void Claim(Sequence after);
  void BecomeHolder(Sequence epoch, Time now);
  void Resign(const std::string& why);
  void ReleaseWhenIdle();

  // Agents that can't obey an older planner any more, and were heard lately.
  std::vector<AgentState> Confirmed(const std::vector<AgentState>& agents, Time now);
  void SyncWorkers(const std::vector<AgentState>& confirmed, Time now);
  void SyncJobs(const ReportTable& table, Time now);
  // Finds out what became of a job that an earlier planner may have started; returns whether that
  // is known.
  bool Resolve(const JobRecord& job, const ReportTable& table, Time now);
  void Adopt(const JobRecord& job, const ReportedAttempt& found, Time now);
  void Follow(LiveAttempt* attempt, const ReportTable& table, Time now);
  void BeginEnding(LiveAttempt* attempt, AttemptEnd end, Time now);
  void AskStop(LiveAttempt* attempt);
  // Returns whether the attempt is over and off the books.
  bool ContinueEnding(LiveAttempt* attempt, const ReportTable& table, Time now);
  bool FinishEnding(LiveAttempt* attempt, const ReportTable& table, Time now);
  void ClearStarting(LiveAttempt* attempt);
  void DropOldReports(const ReportTable& table);

  void CarryOut(const Plan& plan, Time now);
  void Begin(const StartDecision& start, Time now);
  void OnStarted(const std::string& job, int64_t number, const GangStartResult& result,
                 bool recorded, Time now);
  void Stop(const StopDecision& stop, Time now);
  void RenewAll(const std::vector<AgentState>& confirmed, Time now);
  void MoveAway(Time now);

  // Notes a record that must be written, however long the log is down.
  void WriteLater(const std::string& job, const Record& record, const GangOrder& forget);
  void EndJob(const std::string& job, int64_t number, JobState state, const std::string& reason,
              const GangOrder& forget);
  void WriteRecordings(Time now);
  void OnWritten(const std::string& job, const FoldVerdict& verdict);

  LiveAttempt* Find(const std::string& job, int64_t number);
  Duration lease() const;
  // When a lease that was counted from `from` has run out on any clock.
  Time LapsesAt(Time from) const;
  // When an agent that this planner has never heard has let go of all that an earlier one started:
  // it may obey that one for a lease, until it has to learn of the claim, and what it was told last
  // runs for a lease more.
  Time UnheardLapsesAt() const;
  Duration Jitter();
  void LogJob(const char* event, const GangOrder& order) const;

  const PlannerOptions options_;
  AgentDirectory* const directory_;
  RecordWriter* const jobs_;
  const JobFold* const job_fold_;
  const ConfigFold* const config_fold_;
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
  // Every agent of the zone was heard under this epoch, or its leases have run out.
  bool all_heard_ = false;
  Time renewed_{};
  int64_t starts_ = 0;
  std::unique_ptr<ZonePlanner> planner_;
  std::map<std::string, LiveAttempt> attempts_;
  // Open jobs of which it is known that no earlier planner's attempt runs on.
  std::set<std::string> resolved_;
  std::map<std::string, std::string> checkpoints_;
  Time next_move_{};
  std::map<std::string, Recording> recordings_;
  // Attempts whose left-over reports are being dropped.
  std::set<ReportTable::Key> dropping_;
  // Workers whose calls timed out take no new work until then.
  std::map<std::string, Time> avoided_until_;
  std::minstd_rand jitter_;

  mutable std::mutex posted_mutex_;
  std::condition_variable posted_changed_;
  int in_flight_ = 0;
  std::vector<Posted> posted_;
};

}  // namespace turmericshift
