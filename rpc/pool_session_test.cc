#include "rpc/pool_session.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <latch>
#include <memory>
#include <thread>
#include <vector>

#include "core/error.h"
#include "core/listen_socket.h"
#include "rpc/sockets.h"
#include "tests/stand_ins/descriptor_shortage.h"
#include "tests/stand_ins/hang_guard.h"
#include "tests/stand_ins/thread_shortage.h"

namespace turmericshift {
namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(30);
constexpr int kConnectMillis = 5000;

// Answers every call with an empty result.
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
  void TakeOver(const pool::PlannerRecord& /*planner*/,
                std::function<void(Result<pool::Done>)> done) override {
    done({pool::Done(), std::nullopt});
  }
};

// If a brief lack of descriptors ended the accept loop for good, agents could no longer reach a
// planner that is still active.
TEST(PoolListener, AcceptsSessionsAgainAfterALackOfDescriptors) {
  EmptyGate gate;
  const PoolListener listener({}, &gate);
  {
    const DescriptorShortage shortage;
    const int connection = ConnectSocket("127.0.0.1", listener.port(), kConnectMillis);
    while (listener.accept_failures() == 0) std::this_thread::yield();
    close(connection);
  }
  const std::string address = "127.0.0.1:" + std::to_string(listener.port());
  const auto port = RpcPlannerConnector().Connect(address, kCallTimeout);
  EXPECT_NO_THROW(port->Cancel("j", kCallTimeout));
}

// The gate of an entry that knows the planner at `address` and is not the planner itself.
class RelayingGate : public EmptyGate {
 public:
  explicit RelayingGate(const std::string& address) : planner_{kEpoch, "planner", address} {}
  pool::PlannerRecord KnownPlanner() const override { return planner_; }

  static constexpr int64_t kEpoch = 5;

 private:
  const pool::PlannerRecord planner_;
};

const pool::PlannerRecord kRelayedPlanner = {RelayingGate::kEpoch, "planner", ""};

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

// An agent has no connection to the planner's zone, but an entry of a third zone reaches both.
TEST(PlannerRelay, RelaysCallsToThePlanner) {
  CountingGate planner_gate;
  const PoolListener planner({}, &planner_gate);
  RelayingGate gate(AddressOf(planner));
  const PoolListener relay({}, &gate);
  const auto port =
      RpcPlannerConnector().ConnectThrough(AddressOf(relay), kRelayedPlanner, kCallTimeout);
  EXPECT_TRUE(port->relayed());
  for (int call = 0; call < 3; ++call) port->Cancel("j", kCallTimeout);
  EXPECT_EQ(planner_gate.cancels.load(), 3);
  pool::AgentReport report;
  report.wait = std::chrono::milliseconds(1);
  EXPECT_NO_THROW(port->Exchange(report, kCallTimeout));
}

// An entry that does not know the newest planner yet must not relay to the previous one.
TEST(PlannerRelay, DoesNotRelayToAnOlderPlanner) {
  CountingGate planner_gate;
  const PoolListener planner({}, &planner_gate);
  RelayingGate gate(AddressOf(planner));
  const PoolListener relay({}, &gate);
  EXPECT_THROW(
      RpcPlannerConnector().ConnectThrough(
          AddressOf(relay), pool::PlannerRecord{RelayingGate::kEpoch + 1, "", ""}, kCallTimeout),
      Error);
}

// An entry that reads the store rarely learns of a new planner seconds after the caller. Without
// the address in the call it would refuse to relay until then, and the caller's leases would
// expire.
TEST(PlannerRelay, RelaysToAPlannerThatOnlyTheCallerKnows) {
  CountingGate planner_gate;
  const PoolListener planner({}, &planner_gate);
  RelayingGate gate("127.0.0.1:1");
  const PoolListener relay({}, &gate);
  const pool::PlannerRecord newer = {RelayingGate::kEpoch + 1, "newer", AddressOf(planner)};
  const auto port = RpcPlannerConnector().ConnectThrough(AddressOf(relay), newer, kCallTimeout);
  port->Cancel("j", kCallTimeout);
  EXPECT_EQ(planner_gate.cancels.load(), 1);
}

// An entry that the store turns away asks the former planner who plans now.
TEST(PoolSession, NamesThePlannerThatTheEntryKnows) {
  RelayingGate gate("127.0.0.1:1");
  const PoolListener listener({}, &gate);
  const auto port = RpcPlannerConnector().Connect(AddressOf(listener), kCallTimeout);
  const pool::PlannerRecord known = port->KnownPlanner(kCallTimeout);
  EXPECT_EQ(known.epoch, RelayingGate::kEpoch);
  EXPECT_EQ(known.node, "planner");
  EXPECT_EQ(known.address, "127.0.0.1:1");
}

// Records what it is called with.
class RecordingGate : public EmptyGate {
 public:
  void Submit(const pool::JobSpec& spec, std::function<void(Result<pool::Done>)> done) override {
    submitted = spec;
    done({pool::Done(), std::nullopt});
  }
  void Cancel(const std::string& id, std::function<void(Result<pool::Done>)> done) override {
    cancelled = id;
    done({pool::Done(), std::nullopt});
  }
  void Yield(const pool::PlannerRecord& record,
             std::function<void(Result<pool::Done>)> done) override {
    successor = record;
    done({pool::Done(), std::nullopt});
  }
  pool::JobSpec submitted;
  std::string cancelled;
  pool::PlannerRecord successor;
};

// A job known by a cut ID is another job: a cancellation would end a job that nobody cancelled.
TEST(PoolSession, KeepsZeroCharactersInCalls) {
  const std::string text("j\0x\0", 4);
  RecordingGate gate;
  const PoolListener listener({}, &gate);
  const auto port = RpcPlannerConnector().Connect(AddressOf(listener), kCallTimeout);
  pool::JobSpec spec;
  spec.id = spec.payload = spec.workspace = text;
  port->Submit(spec, kCallTimeout);
  EXPECT_EQ(gate.submitted.id, text);
  EXPECT_EQ(gate.submitted.payload, text);
  EXPECT_EQ(gate.submitted.workspace, text);
  port->Cancel(text, kCallTimeout);
  EXPECT_EQ(gate.cancelled, text);
  port->Yield({1, text, text}, kCallTimeout);
  EXPECT_EQ(gate.successor.node, text);
  EXPECT_EQ(gate.successor.address, text);
}

// The planner's process ends and another process listens at its address. The relay must replace its
// lost connection by a new one.
TEST(PlannerRelay, ReconnectsAfterTheConnectionToThePlannerWasLost) {
  CountingGate planner_gate;
  auto planner = std::make_unique<PoolListener>(PoolListenerOptions(), &planner_gate);
  const int planner_port = planner->port();
  RelayingGate gate(AddressOf(*planner));
  const PoolListener relay({}, &gate);
  RpcPlannerConnector connector;
  const auto through = [&] {
    return connector.ConnectThrough(AddressOf(relay), kRelayedPlanner, kCallTimeout);
  };
  through()->Cancel("j", kCallTimeout);
  planner.reset();
  EXPECT_THROW(through()->Cancel("j", kCallTimeout), Error);
  PoolListenerOptions again;
  again.port = planner_port;
  planner = std::make_unique<PoolListener>(again, &planner_gate);
  through()->Cancel("j", kCallTimeout);
  EXPECT_EQ(planner_gate.cancels.load(), 2);
}

// A process that starts without enough descriptors must fail instead of waiting for its listener.
TEST(PoolListener, FailsToStartWithoutDescriptors) {
  RunGuarded([] {
    EmptyGate gate;
    const DescriptorShortage shortage;
    EXPECT_THROW(PoolListener({}, &gate), Error);
  });
}

// A listener that can't start must not keep its port, where peers would connect and get no answer.
TEST(PoolListener, FreesItsPortIfItsThreadCantStart) {
  EmptyGate gate;
  PoolListenerOptions options;
  options.port = PoolListener({}, &gate).port();
  {
    const ThreadShortage shortage("");
    EXPECT_THROW(PoolListener(options, &gate), Error);
  }
  EXPECT_NO_THROW(PoolListener(options, &gate));
}

// Keeps an exchange open, as a planner without orders does, and holds the listener's loop in a
// cancel until the test lets it go on.
class HoldingGate : public EmptyGate {
 public:
  using Done = std::function<void(Result<pool::AgentOrders>)>;

  void Exchange(const pool::AgentReport& /*report*/, Done done) override {
    exchange = std::move(done);
    exchanging.count_down();
  }
  void Cancel(const std::string& /*id*/, std::function<void(Result<pool::Done>)> done) override {
    cancelling.count_down();
    go_on.wait();
    done({pool::Done(), std::nullopt});
  }
  void Answer() { exchange({pool::AgentOrders(), std::nullopt}); }

  Done exchange;
  std::latch exchanging{1};
  std::latch cancelling{1};
  std::latch go_on{1};
};

// Ends a listener, whose loop is held, by `end`, which must let it go on.
void EndDuringAnExchange(
    const std::function<void(HoldingGate*, std::unique_ptr<PoolListener>)>& end) {
  RunGuarded([&] {
    HoldingGate gate;
    auto listener = std::make_unique<PoolListener>(PoolListenerOptions(), &gate);
    const auto port = RpcPlannerConnector().Connect(AddressOf(*listener), kCallTimeout);
    const auto ignore_failure = [](const std::function<void()>& call) {
      try {
        call();
      } catch (const Error& error) {
        EXPECT_EQ(error.kind(), ErrorKind::kConnectionLost) << error.what();
      }
    };
    Thread exchanger("exchanger",
                     [&] { ignore_failure([&] { port->Exchange({}, kCallTimeout); }); });
    gate.exchanging.wait();
    Thread canceller("canceller",
                     [&] { ignore_failure([&] { port->Cancel("j", kCallTimeout); }); });
    gate.cancelling.wait();
    end(&gate, std::move(listener));
    exchanger.Join();
    canceller.Join();
  });
}

// The planner's thread answers after the listener is gone. If it used the listener's loop, the
// process would crash.
TEST(PoolListener, DropsAnAnswerThatComesAfterItsEnd) {
  EndDuringAnExchange([](HoldingGate* gate, std::unique_ptr<PoolListener> listener) {
    gate->go_on.count_down();
    listener.reset();
    gate->Answer();
  });
}

// The answer is queued in the listener's loop when the listener ends.
TEST(PoolListener, EndsWithAnAnswerQueued) {
  EndDuringAnExchange([](HoldingGate* gate, std::unique_ptr<PoolListener> listener) {
    gate->Answer();
    Thread ender("ender", [&] { listener.reset(); });
    gate->go_on.count_down();
    ender.Join();
  });
}

// The planner's thread answers while the listener's loop ends.
TEST(PoolListener, EndsWhileAnAnswerComes) {
  constexpr int kRounds = 50;
  for (int round = 0; round < kRounds; ++round) {
    EndDuringAnExchange([](HoldingGate* gate, std::unique_ptr<PoolListener> listener) {
      std::latch both(2);
      Thread answerer("answerer", [&] {
        both.arrive_and_wait();
        gate->Answer();
      });
      gate->go_on.count_down();
      both.arrive_and_wait();
      listener.reset();
    });
  }
}

// The entry that relays ends while the planner has not answered. The caller must not wait for its
// deadline.
TEST(PlannerRelay, FailsACallThatIsRelayedWhileItEnds) {
  RunGuarded([] {
    const int planner = ListenSocket("127.0.0.1", 0);
    RelayingGate gate("127.0.0.1:" + std::to_string(BoundPort(planner)));
    auto relay = std::make_unique<PoolListener>(PoolListenerOptions(), &gate);
    const auto port =
        RpcPlannerConnector().ConnectThrough(AddressOf(*relay), kRelayedPlanner, kCallTimeout);
    Thread caller("caller", [&] {
      try {
        port->Cancel("j", kCallTimeout);
        ADD_FAILURE() << "did not fail";
      } catch (const Error& error) {
        EXPECT_EQ(error.kind(), ErrorKind::kConnectionLost) << error.what();
      }
    });
    const int connection = accept(planner, nullptr, nullptr);
    char byte = 0;
    EXPECT_EQ(recv(connection, &byte, 1, 0), 1);
    relay.reset();
    caller.Join();
    close(connection);
    close(planner);
  });
}

}  // namespace
}  // namespace turmericshift
