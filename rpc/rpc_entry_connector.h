// Connects an agent to entries by TCP.
#pragma once

#include <memory>
#include <string>

#include "rpc/agent_service.h"
#include "rpc/gate_listener.h"
#include "servers/ports/entry_port.h"

namespace turmericshift {

class RpcEntryConnector : public EntryConnector {
 public:
  // `max_requests` bounds the requests that run or wait in this agent at once.
  RpcEntryConnector(const SharedKeys& keys, int max_requests);

  std::shared_ptr<EntryPort> Connect(const std::string& address, const AgentHello& hello,
                                     AgentPort* agent) override;

 private:
  const SharedKeys keys_;
  AgentPools pools_;
};

// "IP:port" split. Throws Error(kInvalidInput).
struct PeerAddress {
  std::string ip;
  int port = 0;
};
// `least_port`: 0 where the system may choose one.
PeerAddress ParsePeerAddress(const std::string& text, int least_port = 1);

}  // namespace turmericshift
