#include "rpc/pool_session.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include "core/error.h"
#include "rpc/sockets.h"

namespace turmericshift {
namespace {

constexpr Duration kAnswerLimit = std::chrono::seconds(30);
constexpr int kConnectMillis = 5000;

// Answers what its sessions ask, with nothing.
class EmptyGate : public pool::PlannerGate {
 public:
  void Exchange(const pool::AgentReport& /*report*/,
                std::function<void(Result<pool::AgentOrders>)> done) override {
    done({pool::AgentOrders(), std::nullopt});
  }
  void Submit(const pool::JobSpec& /*spec*/,
              std::function<void(Result<pool::Done>)> done) override {
    done({pool::Done(), std::nullopt});
  }
  void Cancel(const std::string& /*id*/, std::function<void(Result<pool::Done>)> done) override {
    done({pool::Done(), std::nullopt});
  }
  void Yield(const pool::PlannerRecord& /*successor*/,
             std::function<void(Result<pool::Done>)> done) override {
    done({pool::Done(), std::nullopt});
  }
  void Offer(std::function<void(Result<pool::Done>)> done) override {
    done({pool::Done(), std::nullopt});
  }
};

// Takes all descriptors that the process may still have, but for one, while it lives.
class DescriptorShortage {
 public:
  DescriptorShortage() {
    getrlimit(RLIMIT_NOFILE, &before_);
    rlimit low = before_;
    low.rlim_cur = kLimit;
    setrlimit(RLIMIT_NOFILE, &low);
    for (int fd = open("/dev/null", O_RDONLY); fd >= 0; fd = open("/dev/null", O_RDONLY)) {
      taken_.push_back(fd);
    }
    LeaveOne();
  }
  ~DescriptorShortage() {
    for (const int fd : taken_) close(fd);
    setrlimit(RLIMIT_NOFILE, &before_);
  }
  DescriptorShortage(const DescriptorShortage&) = delete;
  DescriptorShortage& operator=(const DescriptorShortage&) = delete;

 private:
  static constexpr rlim_t kLimit = 256;

  void LeaveOne() {
    close(taken_.back());
    taken_.pop_back();
  }

  rlimit before_{};
  std::vector<int> taken_;
};

// A moment without descriptors must not end the listening for good: agents would reach a planner no
// more that still holds the duty.
TEST(PoolListener, TakesSessionsAgainOnceThereAreDescriptors) {
  EmptyGate gate;
  const PoolListener listener({}, &gate);
  {
    const DescriptorShortage shortage;
    const int connection = ConnectSocket("127.0.0.1", listener.port(), kConnectMillis);
    while (listener.accept_failures() == 0) std::this_thread::yield();
    close(connection);
  }
  const std::string address = "127.0.0.1:" + std::to_string(listener.port());
  const auto port = RpcPlannerConnector().Connect(address, kAnswerLimit);
  EXPECT_NO_THROW(port->Cancel("j", kAnswerLimit));
}

// Knows the planner that is reached at `address`.
class GateBesideAPlanner : public EmptyGate {
 public:
  explicit GateBesideAPlanner(const std::string& address) : planner_{kEpoch, "planner", address} {}
  pool::PlannerRecord KnownPlanner() const override { return planner_; }

  static constexpr int64_t kEpoch = 5;

 private:
  const pool::PlannerRecord planner_;
};

class CountingGate : public EmptyGate {
 public:
  void Cancel(const std::string& /*id*/, std::function<void(Result<pool::Done>)> done) override {
    cancels.fetch_add(1);
    done({pool::Done(), std::nullopt});
  }
  std::atomic<int> cancels{0};
};

std::string AddressOf(const PoolListener& listener) {
  return "127.0.0.1:" + std::to_string(listener.port());
}

// An agent is cut off from the planner's zone while an entry of a third zone reaches both.
TEST(PlannerRelay, PassesCallsOnToThePlanner) {
  CountingGate planner_gate;
  const PoolListener planner({}, &planner_gate);
  GateBesideAPlanner gate(AddressOf(planner));
  const PoolListener relay({}, &gate);
  const auto port = RpcPlannerConnector().ConnectThrough(AddressOf(relay),
                                                         GateBesideAPlanner::kEpoch, kAnswerLimit);
  EXPECT_TRUE(port->relayed());
  for (int call = 0; call < 3; ++call) port->Cancel("j", kAnswerLimit);
  EXPECT_EQ(planner_gate.cancels.load(), 3);
  pool::AgentReport report;
  report.wait = std::chrono::milliseconds(1);
  EXPECT_NO_THROW(port->Exchange(report, kAnswerLimit));
}

// An entry that has not heard of the newest planner would lead to the one before.
TEST(PlannerRelay, LeadsToNoOlderPlanner) {
  CountingGate planner_gate;
  const PoolListener planner({}, &planner_gate);
  GateBesideAPlanner gate(AddressOf(planner));
  const PoolListener relay({}, &gate);
  EXPECT_THROW(RpcPlannerConnector().ConnectThrough(AddressOf(relay),
                                                    GateBesideAPlanner::kEpoch + 1, kAnswerLimit),
               Error);
}

// The planner's process ends and another listens at its address: the relay's old connection must
// not stay in its way.
TEST(PlannerRelay, ReachesThePlannerAgainAfterItsConnectionWasLost) {
  CountingGate planner_gate;
  auto planner = std::make_unique<PoolListener>(PoolListenerOptions(), &planner_gate);
  const int planner_port = planner->port();
  GateBesideAPlanner gate(AddressOf(*planner));
  const PoolListener relay({}, &gate);
  RpcPlannerConnector connector;
  const auto through = [&] {
    return connector.ConnectThrough(AddressOf(relay), GateBesideAPlanner::kEpoch, kAnswerLimit);
  };
  through()->Cancel("j", kAnswerLimit);
  planner.reset();
  EXPECT_THROW(through()->Cancel("j", kAnswerLimit), Error);
  PoolListenerOptions again;
  again.port = planner_port;
  planner = std::make_unique<PoolListener>(again, &planner_gate);
  through()->Cancel("j", kAnswerLimit);
  EXPECT_EQ(planner_gate.cancels.load(), 2);
}

}  // namespace
}  // namespace turmericshift
