// A worker of a pool, in memory and in real time, with leases, fences and ends as an agent meets
// them. The payload of a task is how long it takes, "250ms". For tests and trials only.
#pragma once

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "servers/pool/pool_worker.h"

namespace turmericshift::pool {

class FakePoolWorker : public PoolWorker {
 public:
  explicit FakePoolWorker(int64_t born_ms) : born_ms_(born_ms) {}

  OrderAnswer Start(const StartCall& call, Duration timeout) override;
  OrderAnswer Stop(const std::string& worker_id, const RunId& run, int64_t fence,
                   Duration timeout) override;
  HoldAnswer Hold(const HoldCall& call, Duration timeout) override;

  // Every run that was begun, in order.
  std::vector<RunId> begun() const;

 private:
  struct Live {
    Time over_at{};
  };

  // Ends what is over at `now`.
  void Settle(Time now);
  void End(const RunId& run, EndKind kind);
  WorkerMillis Clock(Time now) const;

  const int64_t born_ms_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  int64_t fence_ = 0;
  WorkerMillis lease_until_ = 0;
  int64_t ends_ = 0;
  std::map<RunId, Live> live_;
  std::map<int64_t, EndedTask> ended_;
  std::map<TaskId, int64_t> newest_over_;
  std::vector<RunId> begun_;
};

}  // namespace turmericshift::pool
