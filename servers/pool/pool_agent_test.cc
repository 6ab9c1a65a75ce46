#include "servers/pool/pool_agent.h"

#include <gtest/gtest.h>

#include <set>

#include "core/error.h"
#include "modules/stand_ins/memory_keyed_log.h"
#include "servers/pool/job_records.h"
#include "tests/stand_ins/thread_shortage.h"

namespace turmericshift::pool {
namespace {

constexpr Duration kLimit = std::chrono::seconds(30);
constexpr int64_t kEpoch = 1;
constexpr int64_t kWorkerStartMillis = 1;

// Runs nothing and notes the runs that it is told to stop.
class StopWatchWorker : public PoolWorker {
 public:
  OrderAnswer Start(const StartCall& /*call*/, Duration /*timeout*/) override {
    return OrderAnswer::kNoRoom;
  }
  OrderAnswer Stop(const std::string& /*worker_id*/, const RunId& run, int64_t /*fence*/,
                   Duration /*timeout*/) override {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      stopped_.insert(run);
    }
    changed_.notify_all();
    return OrderAnswer::kAccepted;
  }
  HoldAnswer Hold(const HoldCall& /*call*/, Duration /*timeout*/) override {
    HoldAnswer answer;
    answer.answer = OrderAnswer::kAccepted;
    answer.lists.start_time_ms = kWorkerStartMillis;
    return answer;
  }

  bool WaitUntilStopped(const std::set<RunId>& runs) {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, kLimit, [&] { return stopped_ == runs; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::set<RunId> stopped_;
};

// A planner that repeats the same orders in each answer.
class RepeatingPlanner : public PlannerClient, public PlannerConnector {
 public:
  explicit RepeatingPlanner(const AgentOrders& orders) : orders_(orders) {}

  std::shared_ptr<PlannerClient> Connect(const std::string& /*address*/,
                                         Duration /*limit*/) override {
    return {this, [](PlannerClient*) {}};
  }
  AgentOrders Exchange(const AgentReport& /*report*/, Duration /*timeout*/) override {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      ++exchanges_;
    }
    changed_.notify_all();
    return orders_;
  }
  void Submit(const JobSpec& /*spec*/, Duration /*timeout*/) override {}
  void Cancel(const std::string& /*id*/, Duration /*timeout*/) override {}
  void Yield(const PlannerRecord& /*successor*/, Duration /*timeout*/) override {}
  void Offer(Duration /*timeout*/) override {}

  bool WaitForExchanges(int count) {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, kLimit, [&] { return exchanges_ >= count; });
  }

 private:
  const AgentOrders orders_;
  std::mutex mutex_;
  std::condition_variable changed_;
  int exchanges_ = 0;
};

WorkerAnnouncement Announcement() {
  WorkerAnnouncement announcement;
  announcement.facts.id = "w-1";
  announcement.facts.start_time_ms = kWorkerStartMillis;
  announcement.sequence = 1;
  return announcement;
}

// Orders arrive while no thread can be started for them. If they counted as carried out, the runs
// would go on for good although the planner has stopped them.
TEST(PoolAgentTest, CarriesOutRepeatedOrdersAfterALackOfThreads) {
  const std::set<RunId> runs = {{{"job", 0, 0, 0}, 1}, {{"job", 0, 0, 1}, 1}};
  AgentOrders orders;
  orders.epoch = kEpoch;
  orders.lease = std::chrono::seconds(4);
  orders.stops.assign(runs.begin(), runs.end());
  MemoryKeyedLog log;
  log.Append(kMembersTopic,
             {{kPlannerKey, EncodePlanner({kEpoch, "planner", "127.0.0.1:1"}), kNoOffset}}, {},
             kLimit);
  StopWatchWorker worker;
  RepeatingPlanner planner(orders);
  MetricsRegistry metrics;
  PoolAgentOptions options;
  options.node = "agent";
  options.zone = "zone-a";
  options.members_wait = std::chrono::milliseconds(50);
  auto shortage = std::make_unique<ThreadShortage>("orders");
  PoolAgent agent(options, &log, &worker, &planner, &metrics);
  EXPECT_NO_THROW(agent.WorkerAnnounced(Announcement()));
  EXPECT_TRUE(planner.WaitForExchanges(3));
  EXPECT_GT(shortage->refusals(), 0);
  shortage.reset();
  EXPECT_TRUE(worker.WaitUntilStopped(runs));
}

}  // namespace
}  // namespace turmericshift::pool
