#include "servers/replay/replayer.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "core/digest.h"
#include "core/error.h"
#include "servers/planner/zone_choice.h"

namespace turmericshift {
namespace {

using Kind = HistoryEventKind;

// Start time of the simulated clock. Far from zero, because a time of zero means "never" in some
// views.
constexpr Duration kStart = std::chrono::hours(1000);

bool IsLogEvent(TraceEventKind kind) {
  return kind == TraceEventKind::kSubmit || kind == TraceEventKind::kCancel ||
         kind == TraceEventKind::kCancelWave || kind == TraceEventKind::kZoneOut ||
         kind == TraceEventKind::kZoneIn || kind == TraceEventKind::kPublish;
}

}  // namespace

Replayer::Replayer(const Trace& trace, const std::string& policy)
    : trace_(trace),
      policy_(policy),
      start_(kStart),
      now_(start_),
      events_(trace.events.begin(), trace.events.end()),
      recorder_(start_) {
  Publish(trace.document);
  platform_ = std::make_unique<ReplayPlatform>(*config_.current()->environment, trace_);
  for (const auto& [name, spec] : config_.current()->environment->zones) {
    StartPlanner(name, &zones_[name]);
  }
}

ReplayResult Replayer::Run() {
  const Time end = start_ + trace_.until;
  while (now_ <= end) {
    while (!events_.empty() && start_ + events_.front().at <= now_) {
      const TraceEvent event = events_.front();
      events_.pop_front();
      if (NeedsLog(event)) {
        deferred_events_.push_back(event);
      } else {
        ApplyWithLocation(event);
      }
    }
    for (auto& [name, zone] : zones_) Step(name, &zone);
    const Time next = std::min(NextTime(), end);
    Integrate(next);
    if (next <= now_) break;
    now_ = next;
    integrals_.SetTime(now_);
  }
  ReplayResult result;
  result.measures = MeasuresOf(jobs_, "");
  result.measures.push_back({"fragmentation", integrals_.fragmentation()});
  result.measures.push_back({"work_share", integrals_.work_share()});
  if (const auto share = integrals_.zone_change_work_share()) {
    result.measures.push_back({"zone_change_work_share", *share});
  }
  result.measures.push_back({"reclaims", static_cast<double>(stops_[StopReason::kReclaim])});
  result.measures.push_back({"moves", static_cast<double>(stops_[StopReason::kDefragment])});
  result.measures.push_back({"refused_starts", static_cast<double>(refused_starts_)});
  result.jobs = jobs_;
  result.bounds = config_.current()->environment->bounds;
  result.lines = recorder_.lines();
  result.history = recorder_.ToHistory(trace_.name);
  return result;
}

Time Replayer::NextTime() const {
  Time next = start_ + trace_.until;
  if (!events_.empty()) next = std::min(next, start_ + events_.front().at);
  if (const auto end = platform_->NextEndTime()) next = std::min(next, *end + trace_.report_lag);
  for (const auto& [name, zone] : zones_) {
    next = std::min(next, std::max(zone.next_decision, zone.planner_from));
    if (zone.needs_decision && HasPlanner(zone)) next = std::min(next, now_ + trace_.tick);
  }
  // Rounds up to a multiple of the tick, and always advances by at least one tick.
  const int64_t ticks = (next - start_ + trace_.tick - Duration(1)) / trace_.tick;
  return std::max(start_ + ticks * trace_.tick, now_ + trace_.tick);
}

void Replayer::Integrate(Time until) {
  std::vector<const ZoneView*> views;
  for (const auto& [name, zone] : zones_) views.push_back(&zone.planner->view());
  integrals_.Add(views, *platform_, requested_accelerators_, until - now_);
}

bool Replayer::NeedsLog(const TraceEvent& event) const {
  return log_down_ && IsLogEvent(event.kind);
}

void Replayer::ApplyWithLocation(const TraceEvent& event) {
  try {
    Apply(event);
  } catch (const Error& error) {
    throw Error(error.kind(), trace_.name + ":" + std::to_string(event.line) + ": " + error.what());
  }
}

void Replayer::Apply(const TraceEvent& event) {
  switch (event.kind) {
    case TraceEventKind::kSubmit:
      return Submit(event.job, event.at);
    case TraceEventKind::kCancel:
      return Cancel(event.subject);
    case TraceEventKind::kCancelWave:
      return CancelWave(event);
    case TraceEventKind::kWorkerDown:
      return LoseWorker(event.subject);
    case TraceEventKind::kWorkerUp: {
      ReplayWorker& worker = platform_->Worker(event.subject);
      worker.up = true;
      Zone& zone = RequireZone(worker.zone);
      zone.planner->WorkerUp(worker.name, worker.rack, worker.capacity);
      zone.needs_decision = true;
      return;
    }
    case TraceEventKind::kWorkerFailsAll:
    case TraceEventKind::kWorkerMended:
      platform_->Worker(event.subject).fails_all = event.kind == TraceEventKind::kWorkerFailsAll;
      return;
    case TraceEventKind::kZoneOut:
    case TraceEventKind::kZoneIn:
      return SetZone(event.subject, event.kind == TraceEventKind::kZoneIn);
    case TraceEventKind::kLogDown:
      log_down_ = true;
      return;
    case TraceEventKind::kLogUp: {
      log_down_ = false;
      for (const JobEnded& ended : std::exchange(unrecorded_ends_, {})) RecordEnd(ended);
      for (const TraceEvent& waiting : std::exchange(deferred_events_, {})) Apply(waiting);
      return;
    }
    case TraceEventKind::kEntryLost:
      return LoseEntry(event.subject);
    case TraceEventKind::kPublish:
      return Publish(event.subject);
  }
}

RecordVerdict Replayer::Record(const turmericshift::Record& record) {
  return replicated_jobs_.Apply(record, next_sequence_++);
}

void Replayer::Submit(const TracedJob& job, Duration submitted) {
  const std::string id = JobId(job.spec.workspace, job.spec.key);
  if (config_.current()->environment->FindWorkspace(job.spec.workspace) == nullptr) {
    throw Error(ErrorKind::kInvalidInput, "the document has no workspace of job '" + id + "'");
  }
  if (feasibility_->Anywhere(job.spec)) {
    // The job is refused immediately, as entries do with a job that no zone can run.
    ReplayJob& refused = jobs_[id];
    refused.id = id;
    refused.job = job;
    refused.submitted = submitted;
    refused.ended = SinceStart();
    refused.state = JobState::kImpossible;
    return;
  }
  JobSubmitted record;
  record.id = NewRecordId();
  record.spec = job.spec;
  record.wall_ms = duration_cast<std::chrono::milliseconds>(SinceStart()).count();
  const std::shared_ptr<const ConfigVersion> config = config_.current();
  record.config_version = config->version;
  record.zone = ChooseZone(*config->environment, *feasibility_, job.spec, loads_);
  if (record.zone.empty()) {
    // Entries refuse such a submission as not run, and the caller retries later.
    TraceEvent retry;
    retry.at = submitted;
    retry.job = job;
    deferred_events_.push_back(retry);
    return;
  }
  if (!Record(record).accepted) return;
  ReplayJob& replay_job = jobs_[id];
  replay_job.id = id;
  replay_job.job = job;
  replay_job.zone = record.zone;
  replay_job.submitted = submitted;
  loads_[record.zone].Add(job.spec);
  requested_accelerators_ += replay_job.accelerators();
  recorder_.Write(Kind::kJobAccepted,
                  {{"job", id}, {"workspace", job.spec.workspace}, {"zone", record.zone}}, now_);
  Zone& zone = RequireZone(record.zone);
  zone.planner->JobAccepted(*replicated_jobs_.Find(id), now_);
  zone.needs_decision = true;
}

void Replayer::Cancel(const std::string& job) {
  if (!Record(JobCancelled{NewRecordId(), job}).accepted) return;
  Zone& zone = RequireZone(replicated_jobs_.Find(job)->zone);
  zone.planner->RequestCancel(job);
  zone.needs_decision = true;
}

void Replayer::CancelWave(const TraceEvent& event) {
  std::vector<std::string> open;
  for (const JobRecord& job : replicated_jobs_.List("")) {
    if (job.state == JobState::kWaiting && job.id.rfind(event.subject, 0) == 0) {
      open.push_back(job.id);
    }
  }
  const auto count = static_cast<size_t>(event.share * static_cast<double>(open.size()));
  for (size_t index = 0; index < std::min(count, open.size()); ++index) Cancel(open[index]);
}

void Replayer::LoseWorker(const std::string& worker) {
  ReplayWorker& state = platform_->Worker(worker);
  state.up = false;
  const Duration lease = config_.current()->environment->bounds.lease;
  for (const ReplayAttempt& attempt : platform_->LoseWorker(worker, lease, now_)) {
    recorder_.WriteMembers(Kind::kGangStopped, attempt, now_, worker);
    ReplayJob& job = jobs_.at(attempt.job);
    const double lost_work = attempt.accelerators() * Seconds(now_ - attempt.started);
    job.lost_work += lost_work;
    integrals_.AddLostWork(lost_work);
  }
  Zone& zone = RequireZone(state.zone);
  // The worker is removed only after its attempts have provably ended.
  zone.planner->WorkerUsable(worker, false);
  ForgetLostWorkers(&zone);
  zone.needs_decision = true;
}

void Replayer::LoseEntry(const std::string& name) {
  Zone& zone = RequireZone(name);
  zone.planner_from = now_ + trace_.takeover;
  StartPlanner(name, &zone);
}

void Replayer::SetZone(const std::string& zone, bool in) {
  RequireZone(zone);
  integrals_.ZoneChanged(now_);
  ZoneChanged record;
  record.id = NewRecordId();
  record.zone = zone;
  record.in = in;
  ApplyConfig(record);
}

void Replayer::Publish(const std::string& text) {
  ConfigPublished record;
  record.id = NewRecordId();
  record.parent = config_.current() ? config_.current()->version : 0;
  record.version = record.parent + 1;
  record.text = text;
  record.sets_zones = true;
  record.digest = Digest(text);
  ApplyConfig(record);
}

void Replayer::ApplyConfig(const turmericshift::Record& record) {
  const RecordVerdict verdict = config_.Apply(record, next_sequence_++);
  if (!verdict.accepted) throw Error(ErrorKind::kInvalidInput, verdict.reason);
  const std::shared_ptr<const ConfigVersion> current = config_.current();
  feasibility_ = std::make_unique<Feasibility>(current->environment);
  recorder_.Write(Kind::kConfigAccepted,
                  {{"version", current->version},
                   {"digest", current->digest},
                   {"zones_out", current->environment->ZonesOut()}},
                  now_);
  for (auto& [name, zone] : zones_) {
    if (zone.planner) zone.planner->SetEnvironment(current->environment);
    zone.needs_decision = true;
  }
  // Submissions that no zone accepted may be accepted under the new document.
  for (const TraceEvent& waiting : std::exchange(deferred_events_, {})) Apply(waiting);
}

void Replayer::EndJob(const std::string& zone, const std::string& job, int64_t attempt,
                      JobState state, const std::string& reason) {
  JobEnded ended;
  ended.id = NewRecordId();
  ended.job = job;
  ended.attempt = attempt;
  ended.state = state;
  ended.reason = reason;
  ended.epoch = RequireZone(zone).epoch;
  if (log_down_) {
    // The result stays with its agents until it can be recorded.
    unrecorded_ends_.push_back(ended);
  } else {
    RecordEnd(ended);
  }
}

void Replayer::RecordEnd(const JobEnded& ended) {
  if (!Record(ended).accepted) return;
  ReplayJob& job = jobs_.at(ended.job);
  job.state = ended.state;
  job.ended = SinceStart();
  loads_[job.zone].Remove(job.job.spec);
  requested_accelerators_ -= job.accelerators();
  recorder_.Write(Kind::kJobEnded,
                  {{"job", ended.job},
                   {"workspace", job.job.spec.workspace},
                   {"attempt", ended.attempt},
                   {"state", JobStateName(ended.state)},
                   {"declared_ms", 1000 * Seconds(job.job.spec.declared_run_time)},
                   {"took_ms", 1000 * Seconds(*job.ended - job.submitted)}},
                  now_);
}

Replayer::Zone& Replayer::RequireZone(const std::string& name) {
  const auto found = zones_.find(name);
  if (found != zones_.end()) return found->second;
  throw Error(ErrorKind::kInvalidInput, "the document has no availability zone '" + name + "'");
}

bool Replayer::AllWorkersUp(const std::string& zone) const {
  for (const auto& [name, worker] : platform_->workers()) {
    if (worker.zone == zone && (!worker.up || worker.fails_all)) return false;
  }
  return true;
}

}  // namespace turmericshift
