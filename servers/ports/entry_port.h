// An entry as agents call it, and the ways in which the two come to know each other.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "servers/ports/agent_port.h"
#include "servers/ports/messages.h"

namespace turmericshift {

// One agent's session with one entry.
class EntryPort {
 public:
  virtual ~EntryPort() = default;
  // Throws Error(kConnectionLost) or Error(kDeadlineExceeded) when the session has gone silent.
  virtual HeartbeatReply Heartbeat(const AgentHeartbeat& beat, Duration timeout) = 0;
};

// The entry's side of opening sessions: gives the port that the agent will call.
class EntryGate {
 public:
  virtual ~EntryGate() = default;
  // `agent` stays usable until it is dropped; calls on it fail once the session is lost.
  virtual std::shared_ptr<EntryPort> OpenAgent(const AgentHello& hello,
                                               std::shared_ptr<AgentPort> agent) = 0;
};

// The agent's side: connects to an entry.
class EntryConnector {
 public:
  virtual ~EntryConnector() = default;
  // `agent` serves the entry's calls and must outlive the port.
  // Throws Error(kUnavailable), Error(kUnauthenticated).
  virtual std::shared_ptr<EntryPort> Connect(const std::string& address, const AgentHello& hello,
                                             AgentPort* agent) = 0;
};

}  // namespace turmericshift
