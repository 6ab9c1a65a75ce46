#include "modules/stand_ins/fake_pool_worker.h"

#include <algorithm>

#include "core/units.h"

namespace turmericshift::pool {
namespace {

// Between a checkpoint's owner and the work that has been done.
constexpr char kProgressMark = '@';
constexpr Duration kLookEvery = std::chrono::milliseconds(5);
// A worker that has just been born does not begin at zero.
constexpr WorkerMillis kFirstMillis = 1000;

}  // namespace

const GangTracker::Gang* GangTracker::Find(const RunId& run) const {
  const auto found = gangs_.find(KeyOf(run));
  return found == gangs_.end() ? nullptr : &found->second;
}

std::optional<Time> GangTracker::WorksSince(const RunId& run) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const Gang* gang = Find(run);
  return gang == nullptr ? std::nullopt : gang->works_since;
}

void GangTracker::Join(const RunId& run, int size, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Gang& gang = gangs_[KeyOf(run)];
  gang.present.insert(run.task.index);
  const bool whole = static_cast<int>(gang.present.size()) == size;
  if (whole && !gang.broken && !gang.works_since) gang.works_since = now;
}

void GangTracker::Leave(const RunId& run, EndKind kind) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Gang& gang = gangs_[KeyOf(run)];
  gang.present.erase(run.task.index);
  if (kind == EndKind::kDone) gang.done = true;
  // A member that waited in vain for the others takes nobody with it that works.
  if (kind != EndKind::kDone && gang.works_since && !gang.done) gang.broken = true;
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
  const std::chrono::duration<double, std::milli> lived = now - born_;
  return kFirstMillis + static_cast<WorkerMillis>(lived.count() * options_.clock_rate);
}

Duration FakePoolWorker::Worked(const RunId& run, const Live& live, Time now) const {
  if (!live.gang) return now - live.begun;
  const std::optional<Time> whole = board_->WorksSince(run);
  return whole ? now - *whole : Duration::zero();
}

std::string FakePoolWorker::SaveProgress(const RunId& run, const Live& live, bool stopped,
                                         Time now) const {
  if (!live.saves) return "";
  const Duration worked = std::min(Worked(run, live, now), live.takes);
  const Duration saved = stopped ? worked : worked / options_.save_every * options_.save_every;
  const Duration done = live.done_before + saved;
  if (done <= Duration::zero()) return "";
  TaskId owner = run.task;
  if (live.gang) owner.index = 0;
  const std::string checkpoint = TaskName(owner) + kProgressMark +
                                 FormatDuration(duration_cast<std::chrono::milliseconds>(done));
  if (watch_ != nullptr) watch_->OnCheckpointSaved(run.task, checkpoint);
  return checkpoint;
}

void FakePoolWorker::End(const RunId& run, EndKind kind, Time now) {
  const Live live = live_.at(run);
  const bool gang = live.gang;
  const std::string checkpoint =
      kind == EndKind::kDone ? "" : SaveProgress(run, live, kind == EndKind::kStopped, now);
  live_.erase(run);
  newest_over_[run.task] = std::max(newest_over_[run.task], run.number);
  const EndedTask end = {++ends_, run, kind, checkpoint};
  ended_[end.number] = end;
  if (gang && board_ != nullptr) board_->Leave(run, kind);
  if (watch_ != nullptr) watch_->OnEnded(end);
  changed_.notify_all();
}

std::optional<EndKind> FakePoolWorker::EndOf(const RunId& run, const Live& live, Time now) {
  if (live.gang && board_->Done(run)) return EndKind::kDone;
  if (live.gang && board_->Broken(run)) return EndKind::kGangBroken;
  if (Clock(now) >= lease_until_) return EndKind::kLeaseExpired;
  if (live.gang && !board_->WorksSince(run)) {
    if (now - live.begun >= options_.gang_wait) return EndKind::kPartialGang;
    return std::nullopt;
  }
  if (Worked(run, live, now) < live.takes) return std::nullopt;
  const bool fails = watch_ != nullptr && watch_->ShouldFail(run);
  return fails ? EndKind::kFailed : EndKind::kDone;
}

void FakePoolWorker::Settle(Time now) {
  const std::map<RunId, Live> live = live_;
  for (const auto& [run, state] : live) {
    const std::optional<EndKind> kind = EndOf(run, state, now);
    if (kind) End(run, *kind, now);
  }
  NoteLapse(now);
}

void FakePoolWorker::NoteLapse(Time now) {
  const bool lapsed = Clock(now) >= lease_until_;
  if (lapsed && !lapsed_ && watch_ != nullptr) watch_->OnLeaseExpired();
  lapsed_ = lapsed;
}

void FakePoolWorker::Look(Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Settle(now);
}

void FakePoolWorker::Crash() {
  const std::lock_guard<std::mutex> lock(mutex_);
  crashed_ = true;
  for (const auto& [run, state] : live_) {
    if (state.gang) board_->Leave(run, EndKind::kGangBroken);
  }
  live_.clear();
}

OrderAnswer FakePoolWorker::Start(const StartCall& call, Duration /*timeout*/) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (crashed_) return OrderAnswer::kUnhealthy;
  const Time now = LeaseClock().Now();
  Settle(now);
  if (call.fence < fence_) return OrderAnswer::kFenced;
  fence_ = call.fence;
  if (live_.count(call.run) > 0) return OrderAnswer::kAccepted;
  const auto over = newest_over_.find(call.run.task);
  const bool old = over != newest_over_.end() && call.run.number <= over->second;
  if (!old && Clock(now) >= call.lease_until) return OrderAnswer::kExpired;
  lease_until_ = std::max(lease_until_, call.lease_until);
  if (old) return OrderAnswer::kStaleRun;
  const int size = watch_ == nullptr ? 0 : watch_->GangSize(call.run.task);
  const bool gang = board_ != nullptr && size > 0;
  Live live;
  live.begun = now;
  live.gang = gang;
  live.saves = watch_ != nullptr && watch_->SavesCheckpoints(call.run.task);
  const size_t mark = call.checkpoint.find(kProgressMark);
  if (mark != std::string::npos) {
    live.done_before = ParseDuration(call.checkpoint.substr(mark + 1));
  }
  live.takes = ParseDuration(call.payload) - live.done_before;
  live_[call.run] = live;
  if (gang) board_->Join(call.run, size, now);
  if (watch_ != nullptr) watch_->OnStarted(call);
  begun_.push_back(call.run);
  return OrderAnswer::kAccepted;
}

OrderAnswer FakePoolWorker::Stop(const std::string& /*worker_id*/, const RunId& run, int64_t fence,
                                 Duration /*timeout*/) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (crashed_) return OrderAnswer::kUnhealthy;
  if (fence < fence_) return OrderAnswer::kFenced;
  fence_ = fence;
  newest_over_[run.task] = std::max(newest_over_[run.task], run.number);
  if (live_.count(run) > 0) End(run, EndKind::kStopped, LeaseClock().Now());
  return OrderAnswer::kAccepted;
}

HoldAnswer FakePoolWorker::Hold(const HoldCall& call, Duration /*timeout*/) {
  std::unique_lock<std::mutex> lock(mutex_);
  HoldAnswer answer;
  answer.answer = crashed_ ? OrderAnswer::kUnhealthy : OrderAnswer::kFenced;
  if (crashed_ || call.fence < fence_) return answer;
  fence_ = call.fence;
  Settle(LeaseClock().Now());
  if (call.lease_until) lease_until_ = std::max(lease_until_, *call.lease_until);
  ended_.erase(ended_.begin(), ended_.upper_bound(call.acked_ends));
  if (watch_ != nullptr) watch_->OnEndsAcknowledged(call.acked_ends);
  const Time until = LeaseClock().Now() + call.wait;
  while (ended_.empty() && LeaseClock().Now() < until) {
    changed_.wait_for(lock, kLookEvery);
    Settle(LeaseClock().Now());
  }
  // A life that has ended says nothing more; its empty list would look as if its runs were over.
  if (crashed_) {
    answer.answer = OrderAnswer::kUnhealthy;
    return answer;
  }
  answer.answer = OrderAnswer::kAccepted;
  answer.lists.start_time_ms = options_.start_time_ms;
  const Time now = LeaseClock().Now();
  answer.lists.clock = Clock(now);
  for (const auto& [run, live] : live_) {
    answer.lists.running.push_back({run, SaveProgress(run, live, false, now)});
  }
  for (const auto& row : ended_) answer.lists.ended.push_back(row.second);
  return answer;
}

std::vector<RunId> FakePoolWorker::begun() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return begun_;
}

}  // namespace turmericshift::pool
