// Runs several entries and agents in one process without sockets, and injects faults into the ports
// between them and into the log.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "modules/stand_ins/memory_log.h"
#include "servers/agent/agent_server.h"
#include "servers/entry/request_router.h"
#include "tests/stand_ins/faulty_link.h"
#include "tests/stand_ins/request_history.h"

namespace turmericshift {

inline constexpr const char* kTestService = "planner";

// The part of an entry that routes requests.
struct TestEntry {
  explicit TestEntry(LogService* log);
  // Number of idempotency keys that an entry retains; small, so that a test can exceed it.
  static constexpr size_t kRetainedKeys = 64;

  MetricsRegistry metrics;
  ReplicatedRequests replicated_requests;
  StreamClient stream;
  AgentDirectory directory;
  RequestRouter router;
  // Set once the entry's VM is gone: agents can no longer reach the entry.
  std::atomic<bool> gone{false};
};

// The session of one agent with a TestEntry.
class HeartbeatPort : public EntryPort {
 public:
  HeartbeatPort(std::shared_ptr<TestEntry> entry, AgentHello hello)
      : entry_(std::move(entry)), hello_(std::move(hello)) {}
  HeartbeatReply Heartbeat(const AgentHeartbeat& beat, Duration timeout) override;

 private:
  const std::shared_ptr<TestEntry> entry_;
  const AgentHello hello_;
};

struct TestAgent {
  std::string name;
  std::unique_ptr<CountingTarget> target;
  std::shared_ptr<AgentProcess> agent_process;
  std::unique_ptr<EntryConnector> connector;
  std::unique_ptr<AgentServer> server;
  std::unique_ptr<MetricsRegistry> metrics;
};

class RequestCluster {
 public:
  RequestCluster(int entries, int agents, uint64_t seed);
  ~RequestCluster();
  RequestCluster(const RequestCluster&) = delete;
  RequestCluster& operator=(const RequestCluster&) = delete;

  // Sends a request to the entry, records the outcome in the history and returns it.
  AnswerEvent Call(size_t entry, const std::string& key, const std::string& body, Duration limit);

  // Replaces the entry by a new one; calls in the old entry continue, as in an isolated process.
  void ReplaceEntry(size_t index);
  // Ends the agent's process, gracefully or immediately, and starts a new one.
  void RestartAgent(size_t index, bool graceful);
  // The agent's process ends and does not come back.
  void KillAgent(size_t index);
  // Opens a second connection from the agent to the entry.
  void Reconnect(size_t agent, size_t entry);
  // Waits until every entry has a session with every running agent.
  void WaitForSessions();

  std::shared_ptr<TestEntry> entry(size_t index) const;
  TestAgent& agent(size_t index) { return agents_[index]; }
  size_t entries() const { return entries_.size(); }
  size_t agents() const { return agents_.size(); }
  LinkState& link_state() { return link_state_; }
  MemoryLog& log() { return log_; }
  RequestHistory& history() { return history_; }

 private:
  void StartAgent(size_t index);

  RequestHistory history_;
  MemoryLog log_;
  mutable std::mutex mutex_;
  std::vector<std::shared_ptr<TestEntry>> entries_;
  std::atomic<int> next_request_{1};
  std::vector<TestAgent> agents_;
  // Declared last, so that late deliveries end before their receivers are destroyed.
  LinkState link_state_;
};

// Waits for `holds` to return true; fails the test with the message `what` on a timeout.
void WaitUntil(const std::string& what, const std::function<bool()>& holds);

}  // namespace turmericshift
