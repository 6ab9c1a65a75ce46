// The agents that have a session with this entry, with their last heartbeats. The directory may be
// out of date: that can delay a request or a start but never break a guarantee.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "servers/entry/routing_policy.h"
#include "servers/ports/agent_port.h"

namespace turmericshift {

struct AgentState {
  AgentHello hello;
  std::shared_ptr<AgentPort> port;
  AgentHeartbeat beat;
  // When the last heartbeat arrived, or the session was opened.
  Time last_contact_at{};
  // Requests that this entry has sent and that are not yet answered.
  int outstanding = 0;
  bool leaving = false;
  // The connection was dropped because no heartbeat arrived.
  bool disconnected = false;
};

class AgentDirectory {
 public:
  // Registers a session. The session replaces an earlier session of the same process, whose calls
  // in flight fail immediately: an agent opens a second connection only if it considers the first
  // connection lost.
  void Open(const AgentHello& hello, std::shared_ptr<AgentPort> port, Time now);
  // Stores a heartbeat. Ignored unless it comes from the agent's registered incarnation.
  void RecordHeartbeat(const AgentHello& hello, const AgentHeartbeat& beat, Time now);
  // Stores the load that an answer of the agent reported.
  void RecordLoad(const std::string& agent, const TargetLoad& load);
  void AddOutstanding(const std::string& agent, int change);
  // Called when the agent refused work because it is leaving. The mark stays, even if heartbeats
  // sent before the refusal say otherwise.
  void MarkLeaving(const std::string& agent, const std::string& incarnation);
  // Drops the connections of agents that sent no heartbeat for `limit`. Their calls in flight would
  // otherwise wait until their callers' deadlines.
  void DisconnectSilent(Time now, Duration limit);
  // Removes agents that sent no heartbeat for `limit` and returns their names.
  std::vector<std::string> RemoveSilent(Time now, Duration limit);

  // Targets of `service` that are not leaving and whose last heartbeat is at most `limit` old.
  std::vector<TargetCandidate> Candidates(const std::string& service, Time now,
                                          Duration limit) const;
  // All agents of `zone`, or of all zones if it is empty.
  std::vector<AgentState> Agents(const std::string& zone) const;
  // Returns a state with a null port when the agent is not known.
  AgentState Find(const std::string& agent) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, AgentState> agents_;
};

}  // namespace turmericshift
