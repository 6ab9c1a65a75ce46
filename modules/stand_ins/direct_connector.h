// Sessions without sockets: passes an agent's heartbeats to an entry in the same process. Attach
// and Detach connect and disconnect entries. For tests and benchmarks only.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "servers/ports/entry_port.h"

namespace turmericshift {

class DirectConnector : public EntryConnector {
 public:
  std::shared_ptr<EntryPort> Connect(const std::string& address, const AgentHello& hello,
                                     AgentPort* agent) override;

  // Makes the entry behind `gate` reachable at `address`, in place of an earlier entry there.
  // `gate` must outlive the matching Detach, after which no session uses the gate.
  void Attach(const std::string& address, EntryGate* gate);
  // Ends the sessions to the entry at `address`, after waiting for heartbeats in progress.
  void Detach(const std::string& address);

 private:
  class Port;
  // The connection to one entry. Heartbeats hold its mutex shared, so that Detach waits for them.
  struct Link;

  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<Link>> links_;
};

}  // namespace turmericshift
