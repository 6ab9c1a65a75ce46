// The calls that an agent makes to an entry, and the interfaces by which the two open sessions.
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
  // Throws Error(kConnectionLost) if the session is lost, or Error(kDeadlineExceeded) if the entry
  // does not reply within `timeout`.
  virtual HeartbeatReply Heartbeat(const AgentHeartbeat& heartbeat, Duration timeout) = 0;
};

// The entry's side of opening a session.
class EntryGate {
 public:
  virtual ~EntryGate() = default;
  // Returns the port for the calls of this agent. Calls on `agent` fail once the session is lost;
  // the object itself stays valid as long as it is referenced.
  virtual std::shared_ptr<EntryPort> OpenAgent(const AgentHello& hello,
                                               std::shared_ptr<AgentPort> agent) = 0;
};

// The agent's side of opening a session.
class EntryConnector {
 public:
  virtual ~EntryConnector() = default;
  // Connects to the entry at `address`, "IP:port". `agent` handles the entry's calls and must
  // outlive the returned port. Throws Error(kUnavailable) or Error(kUnauthenticated).
  virtual std::shared_ptr<EntryPort> Connect(const std::string& address, const AgentHello& hello,
                                             AgentPort* agent) = 0;
};

}  // namespace turmericshift
