// Connects an agent to entries over TCP.
#pragma once

#include <memory>
#include <string>

#include "rpc/agent_service.h"
#include "rpc/gate_listener.h"
#include "servers/ports/entry_port.h"

namespace turmericshift {

class RpcEntryConnector : public EntryConnector {
 public:
  // `max_requests` limits how many requests are running or waiting in this agent at a time.
  RpcEntryConnector(const SharedKeys& keys, int max_requests);

  std::shared_ptr<EntryPort> Connect(const std::string& address, const AgentHello& hello,
                                     AgentPort* agent) override;

 private:
  const SharedKeys keys_;
  AgentPools pools_;
};

struct PeerAddress {
  std::string ip;
  int port = 0;
};
// Parses "IP:port". `min_port` is 0 where the system may choose the port. Throws
// Error(kInvalidInput).
PeerAddress ParsePeerAddress(const std::string& text, int min_port = 1);

}  // namespace turmericshift
