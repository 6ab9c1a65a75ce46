// Runs a trace against the decision code of production: the state machines fed by the log, the
// choice of zones and the planner of each zone, all in simulated time. Replays are deterministic:
// two runs record the same lines.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "servers/planner/zone_choice.h"
#include "servers/planner/zone_planner.h"
#include "servers/replay/replay_measures.h"
#include "servers/replay/replay_platform.h"
#include "servers/replay/replay_recorder.h"
#include "servers/replay/trace.h"
#include "servers/state/replicated_config.h"
#include "servers/state/replicated_jobs.h"

namespace turmericshift {

struct ReplayResult {
  std::map<std::string, ReplayJob> jobs;
  std::vector<Measure> measures;
  Bounds bounds;
  // The history, as log lines and in parsed form.
  std::vector<std::string> lines;
  History history;
};

class Replayer {
 public:
  // `policy` is the name of a placement policy.
  Replayer(const Trace& trace, const std::string& policy);

  // Throws Error(kInvalidInput) if an event does not fit the document.
  ReplayResult Run();

 private:
  // The planning state of one zone.
  struct Zone {
    std::unique_ptr<ZonePlanner> planner;
    Sequence epoch = kNoSequence;
    // The zone has no planner before this time.
    Time planner_from{};
    // The state has changed since the last decision.
    bool needs_decision = true;
    Time next_decision{};
    Time next_progress{};
    Time next_move{};
    // The jobs for which a claim on the guarantee is recorded.
    std::set<std::string> claims;
  };

  // Applies the event. Errors name its line in the trace.
  void ApplyWithLocation(const TraceEvent& event);
  void Apply(const TraceEvent& event);
  void Submit(const TracedJob& job, Duration submitted);
  void Cancel(const std::string& job);
  void CancelWave(const TraceEvent& event);
  void LoseWorker(const std::string& worker);
  void LoseEntry(const std::string& zone);
  void SetZone(const std::string& zone, bool in);
  void Publish(const std::string& text);
  // Applies a document or a zone change. Throws Error(kInvalidInput) if the replicated state
  // rejects the record.
  void ApplyConfig(const turmericshift::Record& record);
  // Returns true if the event needs the log and the log is down. Such events are deferred until the
  // log is up.
  bool NeedsLog(const TraceEvent& event) const;

  RecordVerdict Record(const turmericshift::Record& record);
  void EndJob(const std::string& zone, const std::string& job, int64_t attempt, JobState state,
              const std::string& reason);
  void RecordEnd(const JobEnded& ended);

  Zone& RequireZone(const std::string& name);
  bool HasPlanner(const Zone& zone) const { return now_ >= zone.planner_from; }
  void StartPlanner(const std::string& name, Zone* zone);
  void Step(const std::string& name, Zone* zone);
  void ProcessEndedAttempts(const std::string& name, Zone* zone);
  void ProcessAttemptEnd(const ReplayAttempt& attempt, Zone* zone);
  // Removes the workers that are down and that no attempt uses any more.
  void ForgetLostWorkers(Zone* zone);
  // Counts the work of the attempt since its start as lost.
  void CountLostWork(const ReplayAttempt& attempt);
  void ReportProgress(Zone* zone);
  void EndCancelled(const std::string& name, Zone* zone);
  // Moves a limited number of waiting jobs to zones that suit them better.
  void MoveWaiting(const std::string& name, Zone* zone);
  void ApplyPlan(const std::string& name, const Plan& plan, Zone* zone);
  void Start(const std::string& name, const StartDecision& start, Zone* zone);
  void Stop(const StopDecision& stop, const std::string& zone);
  void UpdateClaims(const std::string& name, Zone* zone);
  bool AllWorkersUp(const std::string& zone) const;

  Time NextTime() const;
  void Integrate(Time until);
  Duration SinceStart() const { return now_ - start_; }
  std::string NewRecordId() { return std::string("r").append(std::to_string(next_sequence_)); }

  const Trace trace_;
  const std::string policy_;
  const Time start_;
  Time now_;
  ReplicatedConfig config_;
  ReplicatedJobs replicated_jobs_;
  Sequence next_sequence_ = 1;
  bool log_down_ = false;
  std::deque<TraceEvent> events_;
  // Events that wait for the log, and submissions that no zone accepts at present.
  std::vector<TraceEvent> deferred_events_;
  std::vector<JobEnded> unrecorded_ends_;
  std::unique_ptr<ReplayPlatform> platform_;
  ReplayRecorder recorder_;
  TimeIntegrals integrals_;
  std::map<std::string, Zone> zones_;
  std::map<std::string, ReplayJob> jobs_;
  // The loads of the zones, counting only jobs that have not ended.
  ZoneLoads loads_;
  // Feasibility under the newest document.
  std::unique_ptr<Feasibility> feasibility_;
  int requested_accelerators_ = 0;
  int refused_starts_ = 0;
  std::map<StopReason, int> stops_;
};

}  // namespace turmericshift
