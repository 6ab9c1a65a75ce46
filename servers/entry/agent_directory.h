// The agents that have a session with this entry, and what they last said. A view: it may be wrong,
// which costs time and never a promise.
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
  AgentBeat beat;
  Time heard{};
  int outstanding = 0;
  bool leaving = false;
  // The port was dropped for its silence.
  bool dropped = false;
};

class AgentDirectory {
 public:
  // A later session of the same process replaces the earlier one, whose calls in flight end at
  // once: the agent opens a second connection because it takes the first one for dead.
  void Open(const AgentHello& hello, std::shared_ptr<AgentPort> port, Time now);
  // Ignored unless it comes from the newest session of that process.
  void RecordHeartbeat(const AgentHello& hello, const AgentBeat& beat, Time now);
  // Load that came with an answer.
  void Answered(const std::string& agent, const TargetLoad& load);
  void AddOutstanding(const std::string& agent, int change);
  // The agent refused work because it leaves; true from now on, whatever older heartbeats say.
  void MarkLeaving(const std::string& agent, const std::string& incarnation);
  // Ends the calls in flight to agents not heard for `limit`, which would otherwise wait for an
  // answer until their callers' deadlines.
  void DropSilent(Time now, Duration limit);
  // Forgets agents not heard for `limit`; returns their names.
  std::vector<std::string> Sweep(Time now, Duration limit);

  // Targets of `service` that are not leaving and were heard within `limit`.
  std::vector<TargetCandidate> Candidates(const std::string& service, Time now,
                                          Duration limit) const;
  // All agents of `zone` ("" for every zone).
  std::vector<AgentState> Agents(const std::string& zone) const;
  // Null port when the agent is not known.
  AgentState Find(const std::string& agent) const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, AgentState> agents_;
};

}  // namespace turmericshift
