// The planning steps of one zone in a replay, in the order of ZonePlannerService::Step.
#include <algorithm>
#include <nlohmann/json.hpp>

#include "core/units.h"
#include "servers/replay/guarantee_oracle.h"
#include "servers/replay/replayer.h"

namespace turmericshift {
namespace {

using Kind = HistoryEventKind;

// Policies may act on time alone, such as by aging, so decisions are also made in zones without any
// change.
constexpr Duration kIdleDecisionInterval = std::chrono::seconds(30);
constexpr Duration kProgressInterval = std::chrono::seconds(30);
// Equals the interval of the real planners, which move few jobs at a time, so that a zone that
// comes back in is filled gradually.
constexpr Duration kMoveInterval = std::chrono::seconds(5);
constexpr int kMaxMovesPerInterval = 4;

}  // namespace

void Replayer::StartPlanner(const std::string& name, Zone* zone) {
  zone->planner =
      std::make_unique<ZonePlanner>(name, PlacementPolicyRegistry::Instance().Create(policy_));
  zone->planner->SetEnvironment(config_.current()->environment);
  const Sequence epoch = next_sequence_;
  Record(PlannerClaimed{NewRecordId(), name, "entry-" + std::to_string(epoch), zone->epoch});
  zone->epoch = epoch;
  for (const auto& [worker_name, worker] : platform_->workers()) {
    if (worker.zone != name || !worker.up) continue;
    zone->planner->WorkerUp(worker.name, worker.rack, worker.capacity);
  }
  for (const JobRecord& job : replicated_jobs_.OpenJobs(name)) {
    zone->planner->JobAccepted(job, now_);
    if (job.cancel_asked) zone->planner->RequestCancel(job.id);
  }
  for (const auto& [key, attempt] : platform_->attempts()) {
    if (attempt.zone != name || attempt.end_time <= now_) continue;
    zone->planner->FoundRunning(*replicated_jobs_.Find(key.job), key.attempt, attempt.tasks,
                                attempt.borrowed, now_);
  }
  zone->needs_decision = true;
}

void Replayer::Step(const std::string& name, Zone* zone) {
  if (!HasPlanner(*zone)) return;
  ProcessEndedAttempts(name, zone);
  if (!zone->needs_decision && now_ < zone->next_decision) return;
  EndCancelled(name, zone);
  ReportProgress(zone);
  const Plan plan = zone->planner->Decide(now_);
  zone->needs_decision = !plan.starts.empty() || !plan.stops.empty();
  zone->next_decision = now_ + kIdleDecisionInterval;
  ApplyPlan(name, plan, zone);
  MoveWaiting(name, zone);
  UpdateClaims(name, zone);
}

void Replayer::ProcessEndedAttempts(const std::string& name, Zone* zone) {
  for (const ReplayAttempt& attempt : platform_->RemoveEnded(name, now_ - trace_.report_lag)) {
    recorder_.WriteMembers(
        attempt.end == AttemptEnd::kDone ? Kind::kGangForgotten : Kind::kGangStopped, attempt,
        attempt.end_time);
    ProcessAttemptEnd(attempt, zone);
    zone->needs_decision = true;
  }
}

void Replayer::ProcessAttemptEnd(const ReplayAttempt& attempt, Zone* zone) {
  AttemptEnd end = attempt.end;
  if (end == AttemptEnd::kStopped && !attempt.saves) CountLostWork(attempt);
  if (end == AttemptEnd::kFailed &&
      zone->planner->AttemptFailedOn(attempt.job, attempt.failed_on, now_) ==
          FailureVerdict::kTryElsewhere) {
    CountLostWork(attempt);
    end = AttemptEnd::kStopped;
  }
  if (end == AttemptEnd::kDone) {
    EndJob(attempt.zone, attempt.job, attempt.attempt, JobState::kDone, "");
  } else if (end == AttemptEnd::kFailed) {
    EndJob(attempt.zone, attempt.job, attempt.attempt, JobState::kFailed, "a task failed");
  } else if (replicated_jobs_.Find(attempt.job)->cancel_asked) {
    EndJob(attempt.zone, attempt.job, attempt.attempt, JobState::kCancelled, "by the caller");
    end = AttemptEnd::kFailed;
  } else if (attempt.saves) {
    zone->planner->Checkpointed(attempt.job, FormatDuration(platform_->SavedWork(attempt.job)),
                                now_);
  }
  zone->planner->AttemptEnded(attempt.job, attempt.attempt, end, now_);
  ForgetLostWorkers(zone);
}

void Replayer::CountLostWork(const ReplayAttempt& attempt) {
  const double lost_work = attempt.accelerators() * Seconds(attempt.end_time - attempt.started);
  jobs_.at(attempt.job).lost_work += lost_work;
  integrals_.AddLostWork(lost_work);
}

void Replayer::ForgetLostWorkers(Zone* zone) {
  const ZoneView& view = zone->planner->view();
  std::set<std::string> lost_workers;
  for (const WorkerView& worker : view.workers) {
    if (!platform_->Worker(worker.name).up) lost_workers.insert(worker.name);
  }
  for (const RunningJob& job : view.running) {
    for (const TaskOnWorker& task : job.tasks) lost_workers.erase(task.worker);
  }
  for (const std::string& worker : lost_workers) zone->planner->WorkerLost(worker, now_);
}

void Replayer::ReportProgress(Zone* zone) {
  if (now_ < zone->next_progress) return;
  zone->next_progress = now_ + kProgressInterval;
  const std::vector<RunningJob> running = zone->planner->view().running;
  for (const RunningJob& job : running) {
    const ReplayAttempt* attempt = platform_->Attempt({job.id, job.attempt});
    if (attempt == nullptr) continue;
    zone->planner->Progress(job.id, platform_->ProgressOf(*attempt, now_ - trace_.report_lag),
                            now_);
  }
}

void Replayer::EndCancelled(const std::string& name, Zone* zone) {
  if (log_down_) return;
  const std::vector<WaitingJob> waiting = zone->planner->view().waiting;
  for (const WaitingJob& job : waiting) {
    if (!replicated_jobs_.Find(job.id)->cancel_asked) continue;
    EndJob(name, job.id, job.last_attempt, JobState::kCancelled, "by the caller");
    zone->planner->RemoveJob(job.id);
  }
}

void Replayer::MoveWaiting(const std::string& name, Zone* zone) {
  if (log_down_ || now_ < zone->next_move) return;
  zone->next_move = now_ + kMoveInterval;
  const auto environment = config_.current()->environment;
  int moves = 0;
  const std::vector<WaitingJob> waiting = zone->planner->view().waiting;
  for (const WaitingJob& job : waiting) {
    const std::string to = BetterZone(*environment, *feasibility_, job.spec, name, loads_);
    if (to.empty() || job.cancel_asked) continue;
    if (!Record(JobMoved{NewRecordId(), job.id, name, to, zone->epoch, job.checkpoint}).accepted) {
      continue;
    }
    loads_[name].Remove(job.spec);
    loads_[to].Add(job.spec);
    jobs_.at(job.id).zone = to;
    zone->planner->RemoveJob(job.id);
    Zone& next = RequireZone(to);
    next.planner->JobAccepted(*replicated_jobs_.Find(job.id), now_);
    next.needs_decision = true;
    if (++moves >= kMaxMovesPerInterval) return;
  }
}

void Replayer::ApplyPlan(const std::string& name, const Plan& plan, Zone* zone) {
  for (const StopDecision& stop : plan.stops) Stop(stop, name);
  for (const StartDecision& start : plan.starts) Start(name, start, zone);
  for (const RefuseDecision& refusal : plan.refusals) {
    EndJob(name, refusal.job, 0, JobState::kImpossible, refusal.reason);
    zone->planner->RemoveJob(refusal.job);
  }
}

void Replayer::Stop(const StopDecision& stop, const std::string& zone) {
  const ReplayAttempt* attempt = platform_->Attempt({stop.job, stop.attempt});
  if (attempt == nullptr) return;
  ++stops_[stop.reason];
  if (stop.reason == StopReason::kReclaim) ++jobs_.at(stop.job).reclaims;
  recorder_.Write(Kind::kJobStopped,
                  {{"job", stop.job},
                   {"workspace", attempt->spec.workspace},
                   {"attempt", stop.attempt},
                   {"zone", zone},
                   {"reason", StopReasonName(stop.reason)}},
                  now_);
  const bool saves_work = stop.checkpoint && attempt->spec.checkpoints;
  platform_->StopBy({stop.job, stop.attempt}, now_ + trace_.stop_time, AttemptEnd::kStopped,
                    saves_work);
}

void Replayer::Start(const std::string& name, const StartDecision& start, Zone* zone) {
  ReplayJob& job = jobs_.at(start.job);
  const std::string refusal = platform_->StartRefusal(start, job.job.spec);
  if (!refusal.empty()) {
    ++refused_starts_;
    zone->planner->AttemptEnded(start.job, start.attempt, AttemptEnd::kNotStarted, now_);
    return;
  }
  recorder_.Write(Kind::kGangPlanned,
                  {{"job", start.job},
                   {"attempt", start.attempt},
                   {"tasks", job.job.spec.tasks},
                   {"zone", name}},
                  now_);
  platform_->Start(name, start, job.job, now_);
  ++job.attempts;
  if (!job.started) job.started = SinceStart();
  recorder_.WriteMembers(Kind::kGangReleased, *platform_->Attempt({start.job, start.attempt}),
                         now_);
  recorder_.Write(Kind::kJobStarted,
                  {{"job", start.job},
                   {"workspace", job.job.spec.workspace},
                   {"attempt", start.attempt},
                   {"zone", name},
                   {"tasks", start.tasks.size()},
                   {"borrowed", start.borrowed},
                   {"waited_ms", 1000 * Seconds(SinceStart() - job.submitted)}},
                  now_);
}

void Replayer::UpdateClaims(const std::string& name, Zone* zone) {
  const ZoneView& view = zone->planner->view();
  std::set<std::string> covered;
  // If a worker is down or fails everything, the zone may be unable to meet all its guarantees, so
  // no claim is recorded.
  if (AllWorkersUp(name)) {
    for (const auto& [workspace, spec] : view.environment->workspaces) {
      covered.merge(CoveredJobs(view, workspace, view.split->Share(name, workspace).cells));
    }
  }
  for (const std::string& job : covered) {
    if (zone->claims.count(job) != 0) continue;
    recorder_.Write(Kind::kGuaranteeClaimed, {{"job", job}, {"zone", name}}, now_);
  }
  for (const std::string& job : zone->claims) {
    if (covered.count(job) != 0) continue;
    recorder_.Write(Kind::kGuaranteeWithdrawn, {{"job", job}, {"zone", name}}, now_);
  }
  zone->claims = std::move(covered);
}

}  // namespace turmericshift
