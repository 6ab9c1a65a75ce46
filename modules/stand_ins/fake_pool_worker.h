// A worker of a pool, in memory and in real time, with leases, fences, gangs and ends as an agent
// meets them. The payload of a task is how long it takes, "250ms". For tests and trials only.
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

// Where the members of gangs stand, shared by the workers that may run them.
class GangTracker {
 public:
  // From when on the gang of `run` works; empty while members are missing.
  std::optional<Time> WorksSince(const RunId& run) const;
  void Join(const RunId& run, int size, Time now);
  // A member is over. OnEnded otherwise than done, it takes the others with it.
  void Leave(const RunId& run, EndKind kind);
  bool Broken(const RunId& run) const;
  // One member has ended done, and so have all.
  bool Done(const RunId& run) const;

 private:
  struct Gang {
    std::set<int> present;
    std::optional<Time> works_since;
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

// Sees what a worker does and decides what its tasks do. Called with the worker's lock held.
class WorkerHooks {
 public:
  virtual ~WorkerHooks() = default;
  virtual void OnStarted(const StartCall& /*call*/) {}
  virtual void OnEnded(const EndedTask& /*end*/) {}
  // Ends up to this number may be forgotten.
  virtual void OnEndsAcknowledged(int64_t /*number*/) {}
  // The lease has run out, whether anything ran or not.
  virtual void OnLeaseExpired() {}
  // Members of the task's gang; 0: it is no gang's.
  virtual int GangSize(const TaskId& /*task*/) { return 0; }
  // Whether the run ends failed instead of done.
  virtual bool ShouldFail(const RunId& /*run*/) { return false; }
  // Whether the task saves its progress.
  virtual bool SavesCheckpoints(const TaskId& /*task*/) { return false; }
  // A value from which the task, or its gang, may go on.
  virtual void OnCheckpointSaved(const TaskId& /*task*/, const std::string& /*checkpoint*/) {}
};

struct FakeWorkerOptions {
  int64_t start_time_ms = 0;
  // Its steady clock runs at so many seconds a second.
  double clock_rate = 1.0;
  // Progress is saved each time that so much work has been done, and at a stop.
  Duration save_every = std::chrono::milliseconds(200);
  // A member of a gang waits so long for the others.
  Duration gang_wait = std::chrono::seconds(3);
};

class FakePoolWorker : public PoolWorker {
 public:
  explicit FakePoolWorker(int64_t start_time_ms)
      : FakePoolWorker({start_time_ms}, nullptr, nullptr) {}
  // `board` and `watch` must outlive the worker; each may be null.
  FakePoolWorker(const FakeWorkerOptions& options, GangTracker* board, WorkerHooks* watch)
      : options_(options), board_(board), watch_(watch), born_(LeaseClock().Now()) {}

  OrderAnswer Start(const StartCall& call, Duration timeout) override;
  OrderAnswer Stop(const std::string& worker_id, const RunId& run, int64_t fence,
                   Duration timeout) override;
  HoldAnswer Hold(const HoldCall& call, Duration timeout) override;

  // Ends what is over. Calls do so by themselves; a worker that nobody calls has to be looked at.
  void Look(Time now);
  // The worker is gone with all that it runs; it does nothing more.
  void Crash();
  // Every run that was begun, in order.
  std::vector<RunId> begun() const;

 private:
  struct Live {
    Time begun{};
    // From the checkpoint that it began with on.
    Duration takes{};
    Duration done_before{};
    bool gang = false;
    bool saves = false;
  };

  // Ends what is over at `now`.
  void Settle(Time now);
  void NoteLapse(Time now);
  // How the run has ended by `now`; empty while it goes on.
  std::optional<EndKind> EndOf(const RunId& run, const Live& live, Time now);
  void End(const RunId& run, EndKind kind, Time now);
  // The work that the run has done by `now`.
  Duration Worked(const RunId& run, const Live& live, Time now) const;
  // The checkpoint that the run has by `now`, of which the watch is told; `stopped`: of all that it
  // has done. Empty when it saves nothing.
  std::string SaveProgress(const RunId& run, const Live& live, bool stopped, Time now) const;
  WorkerMillis Clock(Time now) const;

  const FakeWorkerOptions options_;
  GangTracker* const board_;
  WorkerHooks* const watch_;
  const Time born_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool crashed_ = false;
  int64_t fence_ = 0;
  WorkerMillis lease_until_ = 0;
  bool lapsed_ = true;
  int64_t ends_ = 0;
  std::map<RunId, Live> live_;
  std::map<int64_t, EndedTask> ended_;
  std::map<TaskId, int64_t> newest_over_;
  std::vector<RunId> begun_;
};

}  // namespace turmericshift::pool
