// Runs a trace against the decision code of production: the folds of the log, the zone choice and
// the planner of each zone, all in the trace's own time. Two runs give the same lines.
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
#include "servers/state/config_fold.h"
#include "servers/state/job_fold.h"

namespace turmericshift {

struct ReplayResult {
  std::map<std::string, ReplayJob> jobs;
  std::vector<Measure> measures;
  Bounds bounds;
  // The history, as log lines and read back.
  std::vector<std::string> lines;
  History history;
};

class Replayer {
 public:
  // `policy` is a placement policy's name.
  Replayer(const Trace& trace, const std::string& policy);

  // Throws Error(kInvalidInput) for an event that does not fit the document.
  ReplayResult Run();

 private:
  // One zone's planning.
  struct Zone {
    std::unique_ptr<ZonePlanner> planner;
    Sequence epoch = kNoSequence;
    // The time from which it has a planner.
    Time planner_from{};
    // Something changed since the last decision.
    bool needs_decision = true;
    Time next_decision{};
    Time next_progress{};
    Time next_move{};
    // Jobs whose guarantee was claimed.
    std::set<std::string> claims;
  };

  // Applies it; errors name the trace's line.
  void ApplyWithLocation(const TraceEvent& event);
  void Apply(const TraceEvent& event);
  void Submit(const TracedJob& job, Duration submitted);
  void Cancel(const std::string& job);
  void CancelWave(const TraceEvent& event);
  void LoseWorker(const std::string& worker);
  void LoseEntry(const std::string& zone);
  void SetZone(const std::string& zone, bool in);
  void Publish(const std::string& text);
  // A document or a zone change; throws Error(kInvalidInput) if the fold refuses it.
  void ApplyConfig(const turmericshift::Record& record);
  // Events that need the log wait until it is back.
  bool NeedsLog(const TraceEvent& event) const;

  FoldVerdict Record(const turmericshift::Record& record);
  void EndJob(const std::string& zone, const std::string& job, int64_t attempt, JobState state,
              const std::string& reason);
  void RecordEnd(const JobEnded& ended);

  Zone& RequireZone(const std::string& name);
  bool HasPlanner(const Zone& zone) const { return now_ >= zone.planner_from; }
  void StartPlanner(const std::string& name, Zone* zone);
  void Step(const std::string& name, Zone* zone);
  void ProcessEndedAttempts(const std::string& name, Zone* zone);
  void ProcessAttemptEnd(const ReplayAttempt& attempt, Zone* zone);
  // Gives up the workers that are down and that no attempt needs any more.
  void ForgetLostWorkers(Zone* zone);
  // The attempt's work since its start is thrown away.
  void CountLostWork(const ReplayAttempt& attempt);
  void ReportProgress(Zone* zone);
  void EndCancelled(const std::string& name, Zone* zone);
  // Hands waiting jobs over to zones that are better for them, some at a time.
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
  ConfigFold config_;
  JobFold job_fold_;
  Sequence next_sequence_ = 1;
  bool log_down_ = false;
  std::deque<TraceEvent> events_;
  // Held back while the log is down.
  std::vector<TraceEvent> deferred_events_;
  std::vector<JobEnded> unrecorded_ends_;
  std::unique_ptr<ReplayPlatform> platform_;
  ReplayRecorder recorder_;
  TimeIntegrals integrals_;
  std::map<std::string, Zone> zones_;
  std::map<std::string, ReplayJob> jobs_;
  // Of jobs that have not ended: those of each zone, and what all ask for.
  ZoneLoads loads_;
  // Of the newest document.
  std::unique_ptr<Feasibility> feasibility_;
  int requested_accelerators_ = 0;
  int refused_starts_ = 0;
  std::map<StopReason, int> stops_;
};

}  // namespace turmericshift
