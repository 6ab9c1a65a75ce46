// Models the rules by which a worker carries out its agent's calls, in virtual time. Does no work
// itself: its owner advances the runs and ends them.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "servers/pool/pool_worker.h"

namespace turmericshift::pool {

struct WorkerModelOptions {
  Room capacity;
  Duration longest_lease{};
  // How long a stop takes.
  Duration stop_time{};
  // How long it takes to end the runs of an expired lease.
  Duration lapse_time{};
  // Speed of the worker's clock; a worker's clock may be 2% slow.
  double clock_rate = 1.0;
  // Most ends that an answer to a hold lists.
  size_t max_listed_ends = 500;
};

// What the worker knows about a task beyond the call that starts it.
struct ModelTask {
  Room need;
  bool ticket_valid = true;
};

class PoolWorkerModel {
 public:
  struct Run {
    Room need;
    std::string checkpoint;
    int percent = 0;
    Time started{};
    Duration worked{};
    // Since when members of the run's gang are missing.
    Time incomplete_since{};
    // When a stop under way ends the run.
    std::optional<Time> stop_at;
    // When the expiry of its lease ends the run, also if the lease is extended in the meantime.
    std::optional<Time> lapse_at;
  };

  PoolWorkerModel(const WorkerModelOptions& options, const std::string& id, int64_t start_time_ms,
                  Time started);

  // Begins a new life, under the same or another id, in which nothing of the former one is known
  // and the clock begins at `clock`.
  void Restart(const std::string& id, int64_t start_time_ms, WorkerMillis clock, Time now);

  OrderAnswer Start(const StartCall& call, const ModelTask& task, Time now);
  OrderAnswer Stop(const std::string& worker_id, const RunId& run, int64_t fence, Time now);
  // Answers immediately: HoldCall::wait is not modelled.
  HoldAnswer Hold(const HoldCall& call, Time now);

  // Begins to end all runs if their lease has expired.
  void BeginLapse(Time now);
  // Ends a run that is live.
  void End(const RunId& run, EndKind kind);
  // Called for each end that a hold has acknowledged, before the end is forgotten.
  std::function<void(const EndedTask& end)> end_acknowledged;

  const std::string& id() const { return id_; }
  int64_t start_time_ms() const { return start_time_ms_; }
  int64_t fence() const { return fence_; }
  WorkerMillis Clock(Time now) const;
  WorkerMillis lease_until() const { return lease_until_; }
  bool LeaseExpired(Time now) const { return Clock(now) >= lease_until_; }
  std::map<RunId, Run>& live() { return live_; }
  const std::map<RunId, Run>& live() const { return live_; }
  // Ends that have not been acknowledged, by number.
  const std::map<int64_t, EndedTask>& ended() const { return ended_; }

 private:
  bool IsForOtherIncarnation(const std::string& worker_id) const;
  void ExtendLease(WorkerMillis lease_until, Time now);
  bool HasRoom(const Room& need) const;

  const WorkerModelOptions options_;
  std::string id_;
  int64_t start_time_ms_ = 0;
  Time started_{};
  // What the clock showed at `started_`.
  WorkerMillis clock_at_start_ = 0;
  int64_t fence_ = 0;
  WorkerMillis lease_until_ = 0;
  int64_t end_count_ = 0;
  std::map<RunId, Run> live_;
  std::map<int64_t, EndedTask> ended_;
  // The highest run of each task that was stopped or has ended.
  std::map<TaskId, int64_t> newest_over_;
};

}  // namespace turmericshift::pool
