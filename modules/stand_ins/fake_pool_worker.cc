#include "modules/stand_ins/fake_pool_worker.h"

#include <algorithm>

#include "core/units.h"

namespace turmericshift::pool {
namespace {

// Separates the owner of a checkpoint from the amount of work done.
constexpr char kProgressSeparator = '@';
constexpr Duration kPollInterval = std::chrono::milliseconds(5);
// The clock of a new worker does not start at zero.
constexpr WorkerMillis kInitialClockMillis = 1000;

}  // namespace

const GangTracker::Gang* GangTracker::Find(const RunId& run) const {
  const auto found = gangs_.find(KeyOf(run));
  return found == gangs_.end() ? nullptr : &found->second;
}

std::optional<Time> GangTracker::CompleteSince(const RunId& run) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const Gang* gang = Find(run);
  return gang == nullptr ? std::nullopt : gang->complete_since;
}

void GangTracker::Join(const RunId& run, int size, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Gang& gang = gangs_[KeyOf(run)];
  gang.present.insert(run.task.index);
  const bool complete = static_cast<int>(gang.present.size()) == size;
  if (complete && !gang.broken && !gang.complete_since) gang.complete_since = now;
}

void GangTracker::Leave(const RunId& run, EndKind kind) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Gang& gang = gangs_[KeyOf(run)];
  gang.present.erase(run.task.index);
  if (kind == EndKind::kDone) gang.done = true;
  // A member that waited in vain for an incomplete gang does not break the gang.
  if (kind != EndKind::kDone && gang.complete_since && !gang.done) gang.broken = true;
}

bool GangTracker::Broken(const RunId& run) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const Gang* gang = Find(run);
  return gang != nullptr && gang->broken;
}

bool GangTracker::Done(const RunId& run) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const Gang* gang = Find(run);
  return gang != nullptr && gang->done;
}

WorkerMillis FakePoolWorker::Clock(Time now) const {
  const std::chrono::duration<double, std::milli> age = now - started_at_;
  return kInitialClockMillis + static_cast<WorkerMillis>(age.count() * options_.clock_rate);
}

void FakePoolWorker::ExtendLease(WorkerMillis until, Time now) {
  const WorkerMillis longest =
      Clock(now) + duration_cast<std::chrono::milliseconds>(options_.longest_lease).count();
  lease_until_ = std::max(lease_until_, std::min(until, longest));
}

Duration FakePoolWorker::WorkDone(const RunId& run, const ActiveRun& active, Time now) const {
  if (!active.gang) return now - active.started;
  const std::optional<Time> complete = gang_tracker_->CompleteSince(run);
  return complete ? now - *complete : Duration::zero();
}

std::string FakePoolWorker::SaveProgress(const RunId& run, const ActiveRun& active, bool stopped,
                                         Time now) const {
  if (!active.saves_checkpoints) return "";
  const Duration work_done = std::min(WorkDone(run, active, now), active.work_left);
  const Duration saved =
      stopped ? work_done : work_done / options_.save_interval * options_.save_interval;
  const Duration done = active.work_before + saved;
  if (done <= Duration::zero()) return "";
  TaskId owner = run.task;
  if (active.gang) owner.index = 0;
  const std::string checkpoint = TaskName(owner) + kProgressSeparator +
                                 FormatDuration(duration_cast<std::chrono::milliseconds>(done));
  if (hooks_ != nullptr) hooks_->OnCheckpointSaved(run.task, checkpoint);
  return checkpoint;
}

void FakePoolWorker::End(const RunId& run, EndKind kind, Time now) {
  const ActiveRun active = active_runs_.at(run);
  const bool gang = active.gang;
  const std::string checkpoint =
      kind == EndKind::kDone ? "" : SaveProgress(run, active, kind == EndKind::kStopped, now);
  active_runs_.erase(run);
  newest_ended_run_[run.task] = std::max(newest_ended_run_[run.task], run.number);
  const EndedTask end = {++end_count_, run, kind, checkpoint};
  ended_[end.number] = end;
  if (gang && gang_tracker_ != nullptr) gang_tracker_->Leave(run, kind);
  if (hooks_ != nullptr) hooks_->OnEnded(end);
  changed_.notify_all();
}

std::optional<EndKind> FakePoolWorker::EndOf(const RunId& run, const ActiveRun& active, Time now) {
  if (active.gang && gang_tracker_->Done(run)) return EndKind::kDone;
  if (active.gang && gang_tracker_->Broken(run)) return EndKind::kGangBroken;
  if (Clock(now) >= lease_until_) return EndKind::kLeaseExpired;
  if (active.gang && !gang_tracker_->CompleteSince(run)) {
    if (now - active.started >= options_.gang_wait) return EndKind::kPartialGang;
    return std::nullopt;
  }
  if (WorkDone(run, active, now) < active.work_left) return std::nullopt;
  const bool fails = hooks_ != nullptr && hooks_->ShouldFail(run);
  return fails ? EndKind::kFailed : EndKind::kDone;
}

void FakePoolWorker::EndDueRuns(Time now) {
  const std::map<RunId, ActiveRun> active = active_runs_;
  for (const auto& [run, state] : active) {
    const std::optional<EndKind> kind = EndOf(run, state, now);
    if (kind) End(run, *kind, now);
  }
  NotifyLeaseExpiry(now);
}

void FakePoolWorker::NotifyLeaseExpiry(Time now) {
  const bool expired = Clock(now) >= lease_until_;
  if (expired && !lease_expired_ && hooks_ != nullptr) hooks_->OnLeaseExpired();
  lease_expired_ = expired;
}

void FakePoolWorker::Poll(Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  EndDueRuns(now);
}

void FakePoolWorker::Crash() {
  const std::lock_guard<std::mutex> lock(mutex_);
  crashed_ = true;
  for (const auto& [run, state] : active_runs_) {
    if (state.gang) gang_tracker_->Leave(run, EndKind::kGangBroken);
  }
  active_runs_.clear();
}

StartAnswer FakePoolWorker::Start(const StartCall& call, Duration /*timeout*/) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const Time now = LeaseClock().Now();
  return {StartLocked(call, now), Clock(now)};
}

OrderAnswer FakePoolWorker::StartLocked(const StartCall& call, Time now) {
  if (crashed_) return OrderAnswer::kUnhealthy;
  EndDueRuns(now);
  if (call.fence < fence_) return OrderAnswer::kFenced;
  fence_ = call.fence;
  if (active_runs_.count(call.run) > 0) return OrderAnswer::kAccepted;
  const auto newest_ended = newest_ended_run_.find(call.run.task);
  const bool outdated =
      newest_ended != newest_ended_run_.end() && call.run.number <= newest_ended->second;
  if (!outdated && Clock(now) >= call.lease_until) return OrderAnswer::kExpired;
  ExtendLease(call.lease_until, now);
  if (outdated) return OrderAnswer::kStaleRun;
  const int size = hooks_ == nullptr ? 0 : hooks_->GangSize(call.run.task);
  const bool gang = gang_tracker_ != nullptr && size > 0;
  ActiveRun active;
  active.started = now;
  active.gang = gang;
  active.saves_checkpoints = hooks_ != nullptr && hooks_->SavesCheckpoints(call.run.task);
  const size_t separator = call.checkpoint.find(kProgressSeparator);
  if (separator != std::string::npos) {
    active.work_before = ParseDuration(call.checkpoint.substr(separator + 1));
  }
  active.work_left = ParseDuration(call.payload) - active.work_before;
  active_runs_[call.run] = active;
  if (gang) gang_tracker_->Join(call.run, size, now);
  if (hooks_ != nullptr) hooks_->OnStarted(call);
  started_runs_.push_back(call.run);
  return OrderAnswer::kAccepted;
}

OrderAnswer FakePoolWorker::Stop(const std::string& /*worker_id*/, const RunId& run, int64_t fence,
                                 Duration /*timeout*/) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (crashed_) return OrderAnswer::kUnhealthy;
  if (fence < fence_) return OrderAnswer::kFenced;
  fence_ = fence;
  newest_ended_run_[run.task] = std::max(newest_ended_run_[run.task], run.number);
  if (active_runs_.count(run) > 0) End(run, EndKind::kStopped, LeaseClock().Now());
  return OrderAnswer::kAccepted;
}

HoldAnswer FakePoolWorker::Hold(const HoldCall& call, Duration /*timeout*/) {
  std::unique_lock<std::mutex> lock(mutex_);
  HoldAnswer answer;
  answer.answer = crashed_ ? OrderAnswer::kUnhealthy : OrderAnswer::kFenced;
  if (crashed_ || call.fence < fence_) return answer;
  fence_ = call.fence;
  EndDueRuns(LeaseClock().Now());
  if (call.lease_until) ExtendLease(*call.lease_until, LeaseClock().Now());
  ended_.erase(ended_.begin(), ended_.upper_bound(call.acked_ends));
  // A call for a former incarnation may acknowledge ends that this one has not had yet.
  if (hooks_ != nullptr) hooks_->OnEndsAcknowledged(std::min(call.acked_ends, end_count_));
  const Time until = LeaseClock().Now() + call.wait;
  while (ended_.empty() && LeaseClock().Now() < until) {
    changed_.wait_for(lock, kPollInterval);
    EndDueRuns(LeaseClock().Now());
  }
  // A crashed worker must not return its lists: an empty list would mean that its runs have ended.
  if (crashed_) {
    answer.answer = OrderAnswer::kUnhealthy;
    return answer;
  }
  answer.answer = OrderAnswer::kAccepted;
  answer.lists.start_time_ms = options_.start_time_ms;
  const Time now = LeaseClock().Now();
  answer.lists.clock = Clock(now);
  for (const auto& [run, active] : active_runs_) {
    answer.lists.running.push_back({run, SaveProgress(run, active, false, now)});
  }
  for (const auto& row : ended_) answer.lists.ended.push_back(row.second);
  return answer;
}

std::vector<RunId> FakePoolWorker::started_runs() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return started_runs_;
}

}  // namespace turmericshift::pool
