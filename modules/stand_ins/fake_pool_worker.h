// A fake pool worker, in memory and in real time, that implements leases, fencing, gangs and the
// list of ended runs. The payload of a task is its run time, such as "250ms". For tests and trials
// only.
#pragma once

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "servers/pool/pool_worker.h"

namespace turmericshift::pool {

// State of the gangs, shared by the workers that may run their members.
class GangTracker {
 public:
  // When the last member of the run's gang started; empty while members are missing.
  std::optional<Time> CompleteSince(const RunId& run) const;
  void Join(const RunId& run, int size, Time now);
  // Removes a member that has ended. Unless the member ended with kDone, a complete gang breaks,
  // which ends the other members too.
  void Leave(const RunId& run, EndKind kind);
  bool Broken(const RunId& run) const;
  // Whether a member has ended with kDone. The other members are then done too.
  bool Done(const RunId& run) const;

 private:
  struct Gang {
    std::set<int> present;
    std::optional<Time> complete_since;
    bool broken = false;
    bool done = false;
  };
  using Key = std::tuple<std::string, int, int, int64_t>;
  static Key KeyOf(const RunId& run) {
    return {run.task.job, run.task.occurrence, run.task.step, run.number};
  }
  const Gang* Find(const RunId& run) const;

  mutable std::mutex mutex_;
  std::map<Key, Gang> gangs_;
};

// Hooks that observe a worker and decide how its tasks behave. Called with the worker's lock held.
class WorkerHooks {
 public:
  virtual ~WorkerHooks() = default;
  virtual void OnStarted(const StartCall& /*call*/) {}
  virtual void OnEnded(const EndedTask& /*end*/) {}
  // The agent has acknowledged the ends up to `number`; the worker forgets them.
  virtual void OnEndsAcknowledged(int64_t /*number*/) {}
  // The worker's lease has expired, whether or not tasks were running.
  virtual void OnLeaseExpired() {}
  // Number of members of the task's gang; 0 if the task is not part of a gang.
  virtual int GangSize(const TaskId& /*task*/) { return 0; }
  // Whether the run ends with kFailed instead of kDone.
  virtual bool ShouldFail(const RunId& /*run*/) { return false; }
  // Whether the task saves checkpoints.
  virtual bool SavesCheckpoints(const TaskId& /*task*/) { return false; }
  // The task, or its gang, may resume from `checkpoint`.
  virtual void OnCheckpointSaved(const TaskId& /*task*/, const std::string& /*checkpoint*/) {}
};

struct FakeWorkerOptions {
  int64_t start_time_ms = 0;
  // Speed of the worker's steady clock, in seconds per real second.
  double clock_rate = 1.0;
  // A lease that ends later on the worker's clock is shortened to this.
  Duration longest_lease = std::chrono::seconds(6);
  // Work between two checkpoints. A stop saves a checkpoint too.
  Duration save_interval = std::chrono::milliseconds(200);
  // How long a gang member waits for the other members before it ends with kPartialGang.
  Duration gang_wait = std::chrono::seconds(3);
};

class FakePoolWorker : public PoolWorker {
 public:
  explicit FakePoolWorker(int64_t start_time_ms)
      : FakePoolWorker({start_time_ms}, nullptr, nullptr) {}
  // `gangs` and `hooks` must outlive the worker; each may be null.
  FakePoolWorker(const FakeWorkerOptions& options, GangTracker* gangs, WorkerHooks* hooks)
      : options_(options), gang_tracker_(gangs), hooks_(hooks), started_at_(LeaseClock().Now()) {}

  StartAnswer Start(const StartCall& call, Duration timeout) override;
  OrderAnswer Stop(const std::string& worker_id, const RunId& run, int64_t fence,
                   Duration timeout) override;
  HoldAnswer Hold(const HoldCall& call, Duration timeout) override;

  // Ends the runs that are due to end. Start and Hold do this too; Poll serves a worker that
  // receives no calls.
  void Poll(Time now);
  // Drops all runs. The worker then answers every call with kUnhealthy.
  void Crash();
  // All runs that were started, in order.
  std::vector<RunId> started_runs() const;

 private:
  struct ActiveRun {
    Time started{};
    // Run time that remains after the checkpoint that the run started from.
    Duration work_left{};
    Duration work_before{};
    bool gang = false;
    bool saves_checkpoints = false;
  };

  void ExtendLease(WorkerMillis until, Time now);
  OrderAnswer StartLocked(const StartCall& call, Time now);
  // Ends the runs that are due to end by `now`.
  void EndDueRuns(Time now);
  void NotifyLeaseExpiry(Time now);
  // How the run has ended by `now`; empty while the run continues.
  std::optional<EndKind> EndOf(const RunId& run, const ActiveRun& active, Time now);
  void End(const RunId& run, EndKind kind, Time now);
  // Work that the run has done by `now`, without the work before its checkpoint.
  Duration WorkDone(const RunId& run, const ActiveRun& active, Time now) const;
  // Returns the run's checkpoint at `now` and reports it to the hooks. A stopped run saves all of
  // its work, others save full intervals. Empty when nothing is saved.
  std::string SaveProgress(const RunId& run, const ActiveRun& active, bool stopped, Time now) const;
  WorkerMillis Clock(Time now) const;

  const FakeWorkerOptions options_;
  GangTracker* const gang_tracker_;
  WorkerHooks* const hooks_;
  const Time started_at_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool crashed_ = false;
  int64_t fence_ = 0;
  WorkerMillis lease_until_ = 0;
  bool lease_expired_ = true;
  int64_t end_count_ = 0;
  std::map<RunId, ActiveRun> active_runs_;
  std::map<int64_t, EndedTask> ended_;
  std::map<TaskId, int64_t> newest_ended_run_;
  std::vector<RunId> started_runs_;
};

}  // namespace turmericshift::pool
