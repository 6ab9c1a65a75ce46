#include "tests/stand_ins/pool_worker_model.h"

#include <algorithm>

namespace turmericshift::pool {

PoolWorkerModel::PoolWorkerModel(const WorkerModelOptions& options, const std::string& id,
                                 int64_t start_time_ms, Time started)
    : options_(options), id_(id), start_time_ms_(start_time_ms), started_(started) {}

void PoolWorkerModel::Restart(const std::string& id, int64_t start_time_ms, WorkerMillis clock,
                              Time now) {
  id_ = id;
  start_time_ms_ = start_time_ms;
  started_ = now;
  clock_at_start_ = clock;
  fence_ = 0;
  lease_until_ = 0;
  end_count_ = 0;
  live_.clear();
  ended_.clear();
  newest_over_.clear();
}

WorkerMillis PoolWorkerModel::Clock(Time now) const {
  const std::chrono::duration<double, std::milli> age = now - started_;
  return clock_at_start_ + static_cast<WorkerMillis>(age.count() * options_.clock_rate);
}

bool PoolWorkerModel::IsForOtherIncarnation(const std::string& worker_id) const {
  return !worker_id.empty() && worker_id != id_;
}

void PoolWorkerModel::ExtendLease(WorkerMillis lease_until, Time now) {
  const int64_t longest_ms =
      duration_cast<std::chrono::milliseconds>(options_.longest_lease).count();
  lease_until_ = std::max(lease_until_, std::min(lease_until, Clock(now) + longest_ms));
}

bool PoolWorkerModel::HasRoom(const Room& need) const {
  Room free = options_.capacity;
  for (const auto& [run, state] : live_) free -= state.need;
  return free.Holds(need);
}

OrderAnswer PoolWorkerModel::Start(const StartCall& call, const ModelTask& task, Time now) {
  if (IsForOtherIncarnation(call.worker_id)) return OrderAnswer::kOtherIncarnation;
  if (call.fence < fence_) return OrderAnswer::kFenced;
  fence_ = call.fence;
  const auto newest = newest_over_.find(call.run.task);
  const bool present = live_.count(call.run) > 0;
  const bool stale = !present && newest != newest_over_.end() && call.run.number <= newest->second;
  if (!stale && Clock(now) >= call.lease_until) return OrderAnswer::kExpired;
  if (!stale && !present && !task.ticket_valid) return OrderAnswer::kTicketRejected;
  ExtendLease(call.lease_until, now);
  if (stale) return OrderAnswer::kStaleRun;
  if (present) return OrderAnswer::kAccepted;
  if (!HasRoom(task.need)) return OrderAnswer::kNoRoom;
  Run run;
  run.need = task.need;
  run.checkpoint = call.checkpoint;
  run.started = now;
  run.incomplete_since = now;
  live_[call.run] = run;
  return OrderAnswer::kAccepted;
}

OrderAnswer PoolWorkerModel::Stop(const std::string& worker_id, const RunId& run, int64_t fence,
                                  Time now) {
  if (IsForOtherIncarnation(worker_id)) return OrderAnswer::kOtherIncarnation;
  if (fence < fence_) return OrderAnswer::kFenced;
  fence_ = fence;
  int64_t& newest = newest_over_[run.task];
  newest = std::max(newest, run.number);
  const auto live = live_.find(run);
  if (live == live_.end()) return OrderAnswer::kAccepted;
  if (!live->second.stop_at) live->second.stop_at = now + options_.stop_time;
  return OrderAnswer::kAccepted;
}

HoldAnswer PoolWorkerModel::Hold(const HoldCall& call, Time now) {
  HoldAnswer answer;
  answer.answer = OrderAnswer::kOtherIncarnation;
  if (IsForOtherIncarnation(call.worker_id)) return answer;
  answer.answer = OrderAnswer::kFenced;
  if (call.fence < fence_) return answer;
  fence_ = call.fence;
  if (call.lease_until) ExtendLease(*call.lease_until, now);
  while (!ended_.empty() && ended_.begin()->first <= call.acked_ends) {
    if (end_acknowledged) end_acknowledged(ended_.begin()->second);
    ended_.erase(ended_.begin());
  }
  answer.answer = OrderAnswer::kAccepted;
  answer.lists.start_time_ms = start_time_ms_;
  answer.lists.clock = Clock(now);
  for (const auto& [run, state] : live_) {
    answer.lists.running.push_back({run, state.checkpoint, state.percent});
  }
  for (const auto& [number, end] : ended_) {
    if (answer.lists.ended.size() == options_.max_listed_ends) break;
    answer.lists.ended.push_back(end);
  }
  answer.lists.more_ends = answer.lists.ended.size() < ended_.size();
  return answer;
}

void PoolWorkerModel::BeginLapse(Time now) {
  if (!LeaseExpired(now)) return;
  for (auto& [run, state] : live_) {
    if (!state.lapse_at) state.lapse_at = now + options_.lapse_time;
  }
}

void PoolWorkerModel::End(const RunId& run, EndKind kind) {
  const auto live = live_.find(run);
  const EndedTask end = {++end_count_, run, kind, live->second.checkpoint};
  ended_[end.number] = end;
  int64_t& newest = newest_over_[run.task];
  newest = std::max(newest, run.number);
  live_.erase(live);
}

}  // namespace turmericshift::pool
