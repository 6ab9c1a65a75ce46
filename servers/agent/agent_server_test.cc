#include "servers/agent/agent_server.h"

#include <gtest/gtest.h>

#include <future>
#include <set>

#include "core/error.h"

namespace turmericshift {
namespace {

// Answers no heartbeat.
class SilentPort : public EntryPort {
 public:
  HeartbeatReply Heartbeat(const AgentHeartbeat& /*heartbeat*/, Duration /*timeout*/) override {
    throw Error(ErrorKind::kDeadlineExceeded, Outcome::kUnknown, "the entry did not answer");
  }
};

class ServingPort : public EntryPort {
 public:
  HeartbeatReply Heartbeat(const AgentHeartbeat& /*heartbeat*/, Duration /*timeout*/) override {
    return {};
  }
};

// Connects to every address. The entries at the addresses in `silent` answer no heartbeat.
class PartlySilentConnector : public EntryConnector {
 public:
  explicit PartlySilentConnector(std::set<std::string> silent) : silent_(std::move(silent)) {}

  std::shared_ptr<EntryPort> Connect(const std::string& address, const AgentHello& /*hello*/,
                                     AgentPort* /*agent*/) override {
    if (silent_.count(address) != 0) return std::make_shared<SilentPort>();
    if (!reached_.exchange(true)) reached_promise_.set_value();
    return std::make_shared<ServingPort>();
  }
  // Ready once the agent has connected to an entry that serves.
  std::future<void> reached() { return reached_promise_.get_future(); }

 private:
  const std::set<std::string> silent_;
  std::atomic<bool> reached_{false};
  std::promise<void> reached_promise_;
};

// As many entries as the agent keeps sessions with accept its connections and answer no heartbeat.
// If the agent only reconnected to these, it would never use the entry that serves.
TEST(AgentServer, LeavesEntriesThatAnswerNoHeartbeatForOthers) {
  constexpr auto kLimit = std::chrono::seconds(60);
  PartlySilentConnector connector({"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"});
  AgentOptions options;
  options.hello.process = "agent";
  options.hello.zone = "a";
  options.entries = {"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"};
  options.heartbeat = std::chrono::milliseconds(1);
  std::future<void> reached = connector.reached();
  MetricsRegistry metrics;
  const AgentServer agent(options, &connector, nullptr, nullptr, &metrics);
  EXPECT_EQ(reached.wait_for(kLimit), std::future_status::ready);
}

}  // namespace
}  // namespace turmericshift
