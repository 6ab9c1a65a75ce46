// Several entries and agents in one process with faults at the ports between them and at the log,
// without sockets.
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

// The part of an entry that carries requests.
struct TestEntry {
  explicit TestEntry(LogService* log);
  // Small, so that a test can outlive them.
  static constexpr size_t kRetainedKeys = 64;

  MetricsRegistry metrics;
  ReplicatedRequests replicated_requests;
  StreamClient stream;
  AgentDirectory directory;
  RequestRouter router;
  // Its machine has gone: agents find nobody there.
  std::atomic<bool> gone{false};
};

// One agent's session with such an entry.
class HeartbeatPort : public EntryPort {
 public:
  HeartbeatPort(std::shared_ptr<TestEntry> entry, AgentHello hello)
      : entry_(std::move(entry)), hello_(std::move(hello)) {}
  EntryBeat Heartbeat(const AgentBeat& beat, Duration timeout) override;

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

  // Sends the request to that entry, records what came of it and returns that.
  AnswerEvent Call(size_t entry, const std::string& key, const std::string& body, Duration limit);

  // Replaces the entry by a fresh one; calls in it go on, as in a process that is cut off.
  void ReplaceEntry(size_t index);
  // Ends the agent's process, gracefully or at once, and starts it anew.
  void RestartAgent(size_t index, bool graceful);
  // The agent's process ends and does not come back.
  void KillAgent(size_t index);
  // The agent opens another connection to the entry beside the one it has.
  void Reconnect(size_t agent, size_t entry);
  // Waits until every entry knows every agent that runs.
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
  // Last, so that late messages end before what they are delivered to.
  LinkState link_state_;
};

// Waits for a condition that other threads bring about; fails the test when it does not come.
void WaitUntil(const std::string& what, const std::function<bool()>& holds);

}  // namespace turmericshift
