// How ZonePlannerService follows attempts, proves them over, and gets their ends into the log.
#include <algorithm>

#include "core/error.h"
#include "core/logging.h"
#include "servers/planner/zone_planner_service.h"
#include "servers/state/stream_client.h"

namespace turmericshift {
namespace {

constexpr Duration kRecordTimeout = std::chrono::seconds(3);
constexpr Duration kAskAgain = std::chrono::milliseconds(500);
// Reports lag by a heartbeat and the agent's own round.
constexpr Duration kReportLag = std::chrono::seconds(3);
// How long the end waits for the reports that name its checkpoints.
constexpr Duration kCheckpointWait = std::chrono::seconds(3);
constexpr Duration kLeastPause = std::chrono::milliseconds(200);
constexpr int kMostJitterMillis = 400;
// Clocks of two machines may run this much apart; a message may be this long in a queue.
constexpr double kClockRate = 1.05;
constexpr Duration kClockMargin = std::chrono::milliseconds(500);

int64_t Milliseconds(Duration duration) {
  return duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace

bool ZonePlannerService::Resolve(const JobRecord& job, const ReportTable& table, Time now) {
  // An earlier planner reads the claim before it reads a job that came after it.
  if (job.sequence > epoch_) return true;
  const ReportedAttempt* found = table.Newest(job.id);
  // A whole attempt that runs or is done leaves no room for another. One that was stopped does: a
  // newer one may run at an agent that was not heard yet.
  const bool conclusive =
      found != nullptr && found->running() + found->Count(TaskPhase::kDone) == job.spec.tasks;
  if (!conclusive && !all_heard_) return false;
  if (found != nullptr) {
    Adopt(job, *found, now);
    return true;
  }
  if (job.starting_attempt != 0 && job.checkpoint.empty()) {
    EndJob(job.id, job.starting_attempt, JobState::kFailed,
           "it is unknown whether it ran, and it may not be repeated", {});
  }
  return true;
}

void ZonePlannerService::Adopt(const JobRecord& job, const ReportedAttempt& found, Time now) {
  LiveAttempt attempt;
  attempt.view_attempt = found.attempt;
  attempt.stage = AttemptStage::kRunning;
  attempt.since = now;
  attempt.order.job = job.id;
  attempt.order.attempt = found.attempt;
  attempt.order.epoch = epoch_;
  attempt.order.lease = lease();
  attempt.order.checkpoint = job.checkpoint;
  attempt.order.borrowed = !found.guaranteed();
  attempt.order.spec = job.spec;
  attempt.order.tasks = found.placement();
  attempt.recorded = job.starting_attempt == found.attempt;
  attempt.lapses_at = std::max(UnheardLapsesAt(), LapsesAt(now));
  planner_->FoundRunning(job, found.attempt, attempt.order.tasks, attempt.order.borrowed, now);
  LiveAttempt& adopted = attempts_[job.id] = attempt;
  LogJob("job_found_running", adopted.order);
  const bool all_reported = static_cast<int>(found.tasks.size()) == job.spec.tasks;
  const int held = found.Count(TaskPhase::kHeld);
  if (all_reported && held == 0) return;
  // Part of it was never released, or is gone. Every agent that reports is out of the old
  // planner's reach, so a gang that is held everywhere will never be released.
  adopted.may_have_run = !(all_reported && held == job.spec.tasks);
  BeginEnding(&adopted, adopted.may_have_run ? AttemptEnd::kWorkerLost : AttemptEnd::kNotStarted,
              now);
}

void ZonePlannerService::Follow(LiveAttempt* attempt, const ReportTable& table, Time now) {
  if (attempt->stage != AttemptStage::kRunning) return;
  const ReportedAttempt* found = table.Find(attempt->order.job, attempt->order.attempt);
  const size_t total = attempt->order.tasks.size();
  if (found != nullptr) {
    if (found->tasks.size() == total) {
      planner_->Progress(attempt->order.job, found->progress(), now);
      const std::string checkpoint = found->checkpoint();
      std::string& saved = checkpoints_[attempt->order.job];
      if (!checkpoint.empty() && checkpoint != saved) {
        saved = checkpoint;
        planner_->Checkpointed(attempt->order.job, checkpoint, now);
      }
    }
    if (found->Count(TaskPhase::kDone) == static_cast<int>(total)) {
      attempt->final_state = JobState::kDone;
      attempt->over = attempt->order.workers();
      return BeginEnding(attempt, AttemptEnd::kDone, now);
    }
    if (found->Count(TaskPhase::kFailed) > 0) {
      // A worker that fails everything must not cost every job that it draws.
      if (planner_->AttemptFailedOn(attempt->order.job, found->FailedOn(), now) ==
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
  if (missing && now - attempt->since > kReportLag) {
    BeginEnding(attempt, AttemptEnd::kWorkerLost, now);
  }
}

void ZonePlannerService::BeginEnding(LiveAttempt* attempt, AttemptEnd end, Time now) {
  attempt->stage = AttemptStage::kEnding;
  attempt->since = now;
  attempt->end = end;
  attempt->next_ask = now;
  // Without a pause, two planners or two gangs that cross would meet again at once.
  if (end == AttemptEnd::kNotStarted) attempt->next_ask += kLeastPause + Jitter();
}

void ZonePlannerService::AskStop(LiveAttempt* attempt) {
  attempt->asking = true;
  Run([this, order = attempt->order, checkpoint = attempt->checkpoint]() -> Posted {
    const GangStopResult result = runner_->Stop(order, checkpoint);
    return [this, order, result](Time now) {
      LiveAttempt* asked = Find(order.job, order.attempt);
      if (asked == nullptr) return;
      asked->asking = false;
      asked->next_ask = now + kAskAgain;
      asked->over.insert(result.over.begin(), result.over.end());
      asked->stopping = result.stopping;
    };
  });
}

bool ZonePlannerService::ContinueEnding(LiveAttempt* attempt, const ReportTable& table, Time now) {
  if (attempt->stage != AttemptStage::kEnding || attempt->asking) return false;
  std::set<std::string> open = attempt->order.workers();
  for (const std::string& worker : attempt->over) open.erase(worker);
  // A member that answers and does not stop is never counted out: its task still runs.
  if (now >= attempt->lapses_at) open = attempt->stopping;
  if (!open.empty()) {
    if (now >= attempt->next_ask) AskStop(attempt);
    return false;
  }
  if (!attempt->over_since) attempt->over_since = now;
  return FinishEnding(attempt, table, now);
}

bool ZonePlannerService::FinishEnding(LiveAttempt* attempt, const ReportTable& table, Time now) {
  const GangOrder& order = attempt->order;
  const ReportedAttempt* found = table.Find(order.job, order.attempt);
  const Duration waited = now - *attempt->over_since;
  if (attempt->end == AttemptEnd::kNotStarted) {
    if (now < attempt->next_ask) return false;
  } else if (attempt->final_state == JobState::kWaiting && order.spec.checkpoints) {
    const bool told = found != nullptr && found->ended() == static_cast<int>(order.tasks.size());
    if (!told && waited < kCheckpointWait) return false;
  }
  const std::string checkpoint = found == nullptr ? "" : found->checkpoint();
  if (!checkpoint.empty()) checkpoints_[order.job] = checkpoint;
  std::string& saved = checkpoints_[order.job];
  if (saved.empty()) saved = order.checkpoint;
  if (attempt->final_state != JobState::kWaiting) {
    planner_->AttemptEnded(order.job, attempt->view_attempt, attempt->end, now);
    EndJob(order.job, order.attempt, attempt->final_state, attempt->reason, order);
    return true;
  }
  if (!order.spec.repeatable && attempt->recorded) {
    if (!attempt->may_have_run) {
      ClearStarting(attempt);
      return false;
    }
    if (saved.empty()) {
      planner_->AttemptEnded(order.job, attempt->view_attempt, AttemptEnd::kFailed, now);
      EndJob(order.job, order.attempt, JobState::kFailed,
             "it is unknown whether it ran, and it may not be repeated", order);
      return true;
    }
  }
  if (!saved.empty()) planner_->Checkpointed(order.job, saved, now);
  planner_->AttemptEnded(order.job, attempt->view_attempt, attempt->end, now);
  return true;
}

void ZonePlannerService::ClearStarting(LiveAttempt* attempt) {
  attempt->asking = true;
  Run([this, order = attempt->order]() -> Posted {
    bool cleared = false;
    try {
      const JobNotStarted record{NewRecordId(), order.job, order.attempt, order.epoch};
      jobs_->Write(record, kRecordTimeout);
      // Accepted, or void because the job_starting record never landed.
      cleared = true;
    } catch (const Error& error) {
      LogEvent(LogLevel::kWarning, "job_not_cleared",
               {{"job", order.job}, {"error", error.what()}});
    }
    return [this, order, cleared](Time) {
      LiveAttempt* asked = Find(order.job, order.attempt);
      if (asked == nullptr) return;
      asked->asking = false;
      if (cleared) asked->recorded = false;
    };
  });
}

void ZonePlannerService::DropOldReports(const ReportTable& table) {
  for (const auto& [key, reported] : table.attempts()) {
    const auto& [job, number] = key;
    if (Find(job, number) != nullptr || recordings_.count(job) != 0) continue;
    const std::optional<JobRecord> record = job_fold_->Find(job);
    const bool open =
        record && record->state == JobState::kWaiting && record->zone == options_.zone;
    if (open && resolved_.count(job) == 0) continue;
    // The newest reports of a job that waits hold its checkpoint, should this entry die.
    const bool newest = table.Newest(job) == &reported;
    const bool all_ended = reported.ended() == static_cast<int>(reported.tasks.size());
    if (open && newest && all_ended && attempts_.count(job) == 0) continue;
    if (!dropping_.insert(key).second) continue;
    GangOrder order;
    order.job = job;
    order.attempt = number;
    order.epoch = epoch_;
    order.tasks = reported.placement();
    Run([this, order, all_ended]() -> Posted {
      if (!all_ended) runner_->Stop(order, false);
      if (all_ended) runner_->Forget(order);
      return [this, order](Time) { dropping_.erase({order.job, order.attempt}); };
    });
  }
}

void ZonePlannerService::EndJob(const std::string& job, int64_t number, JobState state,
                                const std::string& reason, const GangOrder& forget) {
  const JobEnded ended{NewRecordId(), job, number, state, reason, DefaultClock().WallMillis(),
                       epoch_};
  WriteLater(job, ended, forget);
}

void ZonePlannerService::WriteLater(const std::string& job, const Record& record,
                                    const GangOrder& forget) {
  planner_->JobGone(job);
  Recording recording;
  recording.record = record;
  recording.forget = forget;
  recordings_[job] = recording;
}

void ZonePlannerService::WriteRecordings(Time now) {
  for (auto& [job, recording] : recordings_) {
    if (recording.writing || now < recording.next_try) continue;
    recording.writing = true;
    Run([this, job = job, record = recording.record]() -> Posted {
      try {
        const FoldVerdict verdict = jobs_->Write(record, kRecordTimeout).verdict;
        return [this, job, verdict](Time) { OnWritten(job, verdict); };
      } catch (const Error&) {
        // The reports stay with the agents until the log is back.
        return [this, job](Time then) {
          const auto found = recordings_.find(job);
          if (found == recordings_.end()) return;
          found->second.writing = false;
          found->second.next_try = then + kAskAgain;
        };
      }
    });
  }
}

void ZonePlannerService::OnWritten(const std::string& job, const FoldVerdict& verdict) {
  const auto found = recordings_.find(job);
  if (found == recordings_.end()) return;
  const Recording recording = found->second;
  recordings_.erase(found);
  resolved_.erase(job);
  checkpoints_.erase(job);
  const auto* ended = std::get_if<JobEnded>(&recording.record);
  if (ended != nullptr && verdict.accepted) {
    const std::optional<JobRecord> record = job_fold_->Find(job);
    if (!record) return;
    LogEvent(LogLevel::kInfo, "job_ended",
             {{"job", job},
              {"workspace", record->spec.workspace},
              {"attempt", ended->attempt},
              {"state", JobStateName(ended->state)},
              {"declared_ms", Milliseconds(record->spec.declared_run_time)},
              {"took_ms", ended->wall_ms - record->submitted_wall_ms}});
  }
  if (recording.forget.tasks.empty()) return;
  Run([this, order = recording.forget]() -> Posted {
    runner_->Forget(order);
    return [](Time) {};
  });
}

Time ZonePlannerService::LapsesAt(Time from) const {
  return from + FromSeconds(Seconds(lease()) * kClockRate) + kClockMargin;
}

Time ZonePlannerService::UnheardLapsesAt() const {
  return LapsesAt(claimed_at_ + FromSeconds(Seconds(lease()) * kClockRate));
}

Duration ZonePlannerService::Jitter() {
  return std::chrono::milliseconds(
      std::uniform_int_distribution<int>(0, kMostJitterMillis)(jitter_));
}

void ZonePlannerService::LogJob(const char* event, const GangOrder& order) const {
  const std::optional<JobRecord> record = job_fold_->Find(order.job);
  const int64_t waited = record ? DefaultClock().WallMillis() - record->submitted_wall_ms : 0;
  LogEvent(LogLevel::kInfo, event,
           {{"job", order.job},
            {"workspace", order.spec.workspace},
            {"attempt", order.attempt},
            {"tasks", order.tasks.size()},
            {"borrowed", order.borrowed},
            {"zone", options_.zone},
            {"waited_ms", waited}});
}

}  // namespace turmericshift
