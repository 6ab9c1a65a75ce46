// The part of ZonePlannerService that tracks attempts, proves that they have ended, and records
// their outcome in the log.
#include <algorithm>

#include "core/error.h"
#include "core/logging.h"
#include "servers/planner/zone_planner_service.h"
#include "servers/state/stream_client.h"

namespace turmericshift {
namespace {

constexpr Duration kRecordTimeout = std::chrono::seconds(3);
constexpr Duration kRetryInterval = std::chrono::milliseconds(500);
// Reports lag by one heartbeat interval and one round of the agent.
constexpr Duration kMaxReportLag = std::chrono::seconds(3);
// How long the end of an attempt waits for the reports that contain its checkpoints.
constexpr Duration kCheckpointReportTimeout = std::chrono::seconds(3);
constexpr Duration kMinRestartDelay = std::chrono::milliseconds(200);
constexpr int kMaxJitterMillis = 400;
// The largest assumed ratio between the clock rates of two VMs, and the longest assumed queueing
// delay of a message.
constexpr double kMaxClockRateRatio = 1.05;
constexpr Duration kClockMargin = std::chrono::milliseconds(500);

int64_t Milliseconds(Duration duration) {
  return duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace

bool ZonePlannerService::ResolvePreviousAttempt(const JobRecord& job, const ReportTable& table,
                                                Time now) {
  // An earlier planner reads this planner's claim before it reads a job that was submitted after
  // the claim, so the earlier planner can't have started the job.
  if (job.sequence > epoch_) return true;
  const ReportedAttempt* found = table.Newest(job.id);
  // If all tasks of an attempt run or are done, no other attempt can exist. If the attempt was
  // stopped, a newer attempt may run at an agent that has not reported yet.
  const bool conclusive =
      found != nullptr && found->running() + found->Count(TaskPhase::kDone) == job.spec.tasks;
  if (!conclusive && !all_agents_reported_) return false;
  if (found != nullptr) {
    AdoptAttempt(job, *found, now);
    return true;
  }
  if (job.starting_attempt != 0 && job.checkpoint.empty()) {
    EndJob(job.id, job.starting_attempt, JobState::kFailed,
           "it is unknown whether it ran, and it may not be repeated", {});
  }
  return true;
}

void ZonePlannerService::AdoptAttempt(const JobRecord& job, const ReportedAttempt& found,
                                      Time now) {
  LiveAttempt attempt;
  attempt.view_attempt = found.attempt;
  attempt.stage = AttemptStage::kRunning;
  attempt.stage_since = now;
  attempt.gang.job = job.id;
  attempt.gang.attempt = found.attempt;
  attempt.gang.epoch = epoch_;
  attempt.gang.lease = lease();
  attempt.gang.checkpoint = job.checkpoint;
  attempt.gang.borrowed = !found.guaranteed();
  attempt.gang.spec = job.spec;
  attempt.gang.tasks = found.placement();
  attempt.start_recorded = job.starting_attempt == found.attempt;
  attempt.leases_expire_at = std::max(UnreportedLeaseExpiry(), LeaseExpiry(now));
  planner_->FoundRunning(job, found.attempt, attempt.gang.tasks, attempt.gang.borrowed, now);
  LiveAttempt& adopted = attempts_[job.id] = attempt;
  LogJob("job_found_running", adopted.gang);
  const bool all_reported = static_cast<int>(found.tasks.size()) == job.spec.tasks;
  const int held = found.Count(TaskPhase::kHeld);
  if (all_reported && held == 0) return;
  // Some tasks were never released or no longer exist. All reporting agents reject calls of the
  // previous planner, so a gang whose tasks are all held will never be released.
  adopted.may_have_run = !(all_reported && held == job.spec.tasks);
  BeginEnding(&adopted, adopted.may_have_run ? AttemptEnd::kWorkerLost : AttemptEnd::kNotStarted,
              now);
}

void ZonePlannerService::TrackAttempt(LiveAttempt* attempt, const ReportTable& table, Time now) {
  if (attempt->stage != AttemptStage::kRunning) return;
  const ReportedAttempt* found = table.Find(attempt->gang.job, attempt->gang.attempt);
  const size_t total = attempt->gang.tasks.size();
  if (found != nullptr) {
    if (found->tasks.size() == total) {
      planner_->Progress(attempt->gang.job, found->progress(), now);
      const std::string checkpoint = found->checkpoint();
      std::string& saved = checkpoints_[attempt->gang.job];
      if (!checkpoint.empty() && checkpoint != saved) {
        saved = checkpoint;
        planner_->Checkpointed(attempt->gang.job, checkpoint, now);
      }
    }
    if (found->Count(TaskPhase::kDone) == static_cast<int>(total)) {
      attempt->final_state = JobState::kDone;
      attempt->ended_members = attempt->gang.workers();
      return BeginEnding(attempt, AttemptEnd::kDone, now);
    }
    if (found->Count(TaskPhase::kFailed) > 0) {
      // A worker on which every task fails must not fail every job that is placed there.
      if (planner_->AttemptFailedOn(attempt->gang.job, found->FailedOn(), now) ==
          FailureVerdict::kTryElsewhere) {
        return BeginEnding(attempt, AttemptEnd::kStopped, now);
      }
      attempt->final_state = JobState::kFailed;
      attempt->reason = "a task failed";
      return BeginEnding(attempt, AttemptEnd::kFailed, now);
    }
    if (found->Count(TaskPhase::kStopped) > 0) {
      return BeginEnding(attempt, AttemptEnd::kStopped, now);
    }
  }
  const bool missing = found == nullptr || found->tasks.size() < total;
  if (missing && now - attempt->stage_since > kMaxReportLag) {
    BeginEnding(attempt, AttemptEnd::kWorkerLost, now);
  }
}

void ZonePlannerService::BeginEnding(LiveAttempt* attempt, AttemptEnd end, Time now) {
  attempt->stage = AttemptStage::kEnding;
  attempt->stage_since = now;
  attempt->end = end;
  attempt->next_call_at = now;
  // Without a delay, two planners or two gangs that compete for the same room would collide again
  // immediately.
  if (end == AttemptEnd::kNotStarted) attempt->next_call_at += kMinRestartDelay + Jitter();
}

void ZonePlannerService::RequestStop(LiveAttempt* attempt) {
  attempt->call_in_flight = true;
  RunAsync([this, gang = attempt->gang, checkpoint = attempt->checkpoint]() -> Completion {
    const GangStopResult result = runner_->Stop(gang, checkpoint);
    return [this, gang, result](Time now) {
      LiveAttempt* found_attempt = Find(gang.job, gang.attempt);
      if (found_attempt == nullptr) return;
      found_attempt->call_in_flight = false;
      found_attempt->next_call_at = now + kRetryInterval;
      found_attempt->ended_members.insert(result.ended_members.begin(), result.ended_members.end());
      found_attempt->active_members = result.active_members;
    };
  });
}

bool ZonePlannerService::ContinueEnding(LiveAttempt* attempt, const ReportTable& table, Time now) {
  if (attempt->stage != AttemptStage::kEnding || attempt->call_in_flight) return false;
  std::set<std::string> open = attempt->gang.workers();
  for (const std::string& worker : attempt->ended_members) open.erase(worker);
  // A member that answers but does not stop is never presumed stopped, because its task still runs.
  if (now >= attempt->leases_expire_at) open = attempt->active_members;
  if (!open.empty()) {
    if (now >= attempt->next_call_at) RequestStop(attempt);
    return false;
  }
  if (!attempt->ended_since) attempt->ended_since = now;
  return FinishEnding(attempt, table, now);
}

bool ZonePlannerService::FinishEnding(LiveAttempt* attempt, const ReportTable& table, Time now) {
  const GangAttempt& gang = attempt->gang;
  const ReportedAttempt* found = table.Find(gang.job, gang.attempt);
  const Duration waited = now - *attempt->ended_since;
  if (attempt->end == AttemptEnd::kNotStarted) {
    if (now < attempt->next_call_at) return false;
  } else if (attempt->final_state == JobState::kWaiting && gang.spec.checkpoints) {
    const bool reported = found != nullptr && found->ended() == static_cast<int>(gang.tasks.size());
    if (!reported && waited < kCheckpointReportTimeout) return false;
  }
  const std::string checkpoint = found == nullptr ? "" : found->checkpoint();
  if (!checkpoint.empty()) checkpoints_[gang.job] = checkpoint;
  std::string& saved = checkpoints_[gang.job];
  if (saved.empty()) saved = gang.checkpoint;
  if (attempt->final_state != JobState::kWaiting) {
    planner_->AttemptEnded(gang.job, attempt->view_attempt, attempt->end, now);
    EndJob(gang.job, gang.attempt, attempt->final_state, attempt->reason, gang);
    return true;
  }
  if (!gang.spec.repeatable && attempt->start_recorded) {
    if (!attempt->may_have_run) {
      ClearStartRecord(attempt);
      return false;
    }
    if (saved.empty()) {
      planner_->AttemptEnded(gang.job, attempt->view_attempt, AttemptEnd::kFailed, now);
      EndJob(gang.job, gang.attempt, JobState::kFailed,
             "it is unknown whether it ran, and it may not be repeated", gang);
      return true;
    }
  }
  if (!saved.empty()) planner_->Checkpointed(gang.job, saved, now);
  planner_->AttemptEnded(gang.job, attempt->view_attempt, attempt->end, now);
  return true;
}

void ZonePlannerService::ClearStartRecord(LiveAttempt* attempt) {
  attempt->call_in_flight = true;
  RunAsync([this, gang = attempt->gang]() -> Completion {
    bool cleared = false;
    try {
      const JobNotStarted record{NewRecordId(), gang.job, gang.attempt, gang.epoch};
      jobs_->Write(record, kRecordTimeout);
      // The record was accepted, or it was rejected because the job_starting record was never
      // written.
      cleared = true;
    } catch (const Error& error) {
      LogEvent(LogLevel::kWarning, "job_not_cleared", {{"job", gang.job}, {"error", error.what()}});
    }
    return [this, gang, cleared](Time) {
      LiveAttempt* found_attempt = Find(gang.job, gang.attempt);
      if (found_attempt == nullptr) return;
      found_attempt->call_in_flight = false;
      if (cleared) found_attempt->start_recorded = false;
    };
  });
}

void ZonePlannerService::DropStaleReports(const ReportTable& table) {
  for (const auto& [key, reported] : table.attempts()) {
    const auto& [job, number] = key;
    if (Find(job, number) != nullptr || pending_records_.count(job) != 0) continue;
    const std::optional<JobRecord> record = replicated_jobs_->Find(job);
    const bool open =
        record && record->state == JobState::kWaiting && record->zone == options_.zone;
    if (open && resolved_.count(job) == 0) continue;
    // The newest reports of a waiting job hold its checkpoint, which is needed if this entry dies.
    const bool newest = table.Newest(job) == &reported;
    const bool all_ended = reported.ended() == static_cast<int>(reported.tasks.size());
    if (open && newest && all_ended && attempts_.count(job) == 0) continue;
    if (!reports_being_dropped_.insert(key).second) continue;
    GangAttempt gang;
    gang.job = job;
    gang.attempt = number;
    gang.epoch = epoch_;
    gang.tasks = reported.placement();
    RunAsync([this, gang, all_ended]() -> Completion {
      if (!all_ended) runner_->Stop(gang, false);
      if (all_ended) runner_->Forget(gang);
      return [this, gang](Time) { reports_being_dropped_.erase({gang.job, gang.attempt}); };
    });
  }
}

void ZonePlannerService::EndJob(const std::string& job, int64_t number, JobState state,
                                const std::string& reason, const GangAttempt& attempt_to_forget) {
  const JobEnded ended{NewRecordId(), job, number, state, reason, DefaultClock().WallMillis(),
                       epoch_};
  QueueRecord(job, ended, attempt_to_forget);
}

void ZonePlannerService::QueueRecord(const std::string& job, const Record& record,
                                     const GangAttempt& attempt_to_forget) {
  planner_->RemoveJob(job);
  PendingRecord pending;
  pending.record = record;
  pending.attempt_to_forget = attempt_to_forget;
  pending_records_[job] = pending;
}

void ZonePlannerService::WritePendingRecords(Time now) {
  for (auto& [job, pending] : pending_records_) {
    if (pending.writing || now < pending.retry_at) continue;
    pending.writing = true;
    RunAsync([this, job = job, record = pending.record]() -> Completion {
      try {
        const RecordVerdict verdict = jobs_->Write(record, kRecordTimeout).verdict;
        return [this, job, verdict](Time) { OnRecordWritten(job, verdict); };
      } catch (const Error&) {
        // The agents keep their reports until the log is available again.
        return [this, job](Time then) {
          const auto found = pending_records_.find(job);
          if (found == pending_records_.end()) return;
          found->second.writing = false;
          found->second.retry_at = then + kRetryInterval;
        };
      }
    });
  }
}

void ZonePlannerService::OnRecordWritten(const std::string& job, const RecordVerdict& verdict) {
  const auto found = pending_records_.find(job);
  if (found == pending_records_.end()) return;
  const PendingRecord pending = found->second;
  pending_records_.erase(found);
  resolved_.erase(job);
  checkpoints_.erase(job);
  const auto* ended = std::get_if<JobEnded>(&pending.record);
  if (ended != nullptr && verdict.accepted) {
    const std::optional<JobRecord> record = replicated_jobs_->Find(job);
    if (!record) return;
    LogEvent(LogLevel::kInfo, "job_ended",
             {{"job", job},
              {"workspace", record->spec.workspace},
              {"attempt", ended->attempt},
              {"state", JobStateName(ended->state)},
              {"declared_ms", Milliseconds(record->spec.declared_run_time)},
              {"took_ms", ended->wall_ms - record->submitted_wall_ms}});
  }
  if (pending.attempt_to_forget.tasks.empty()) return;
  RunAsync([this, gang = pending.attempt_to_forget]() -> Completion {
    runner_->Forget(gang);
    return [](Time) {};
  });
}

Time ZonePlannerService::LeaseExpiry(Time from) const {
  return from + FromSeconds(Seconds(lease()) * kMaxClockRateRatio) + kClockMargin;
}

Time ZonePlannerService::UnreportedLeaseExpiry() const {
  return LeaseExpiry(claimed_at_ + FromSeconds(Seconds(lease()) * kMaxClockRateRatio));
}

Duration ZonePlannerService::Jitter() {
  return std::chrono::milliseconds(
      std::uniform_int_distribution<int>(0, kMaxJitterMillis)(jitter_));
}

void ZonePlannerService::LogJob(const char* event, const GangAttempt& gang) const {
  const std::optional<JobRecord> record = replicated_jobs_->Find(gang.job);
  const int64_t waited = record ? DefaultClock().WallMillis() - record->submitted_wall_ms : 0;
  LogEvent(LogLevel::kInfo, event,
           {{"job", gang.job},
            {"workspace", gang.spec.workspace},
            {"attempt", gang.attempt},
            {"tasks", gang.tasks.size()},
            {"borrowed", gang.borrowed},
            {"zone", options_.zone},
            {"waited_ms", waited}});
}

}  // namespace turmericshift
