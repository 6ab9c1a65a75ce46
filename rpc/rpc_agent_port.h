// An entry's client of an agent, over a session.
#pragma once

#include <peer.capnp.h>

#include <memory>

#include "rpc/session.h"
#include "servers/ports/agent_port.h"

namespace turmericshift {

class RpcAgentPort : public AgentPort {
 public:
  // Must be called on the session's thread.
  RpcAgentPort(std::shared_ptr<Session> session, wire::Agent::Client client);
  ~RpcAgentPort() override;

  ServiceAnswer Serve(const ServiceRequest& request) override;
  void Cancel(const std::string& request_id) override;
  RequestStatusReply Resolve(const RequestStatusQuery& question, Duration timeout) override;
  void Drop() override { session_->Close(); }
  void Reserve(const GangReserve& reserve, Duration timeout) override;
  void Start(const GangStart& start, Duration timeout) override;
  void Release(const GangAction& action, Duration timeout) override;
  void Renew(const GangAction& action, Duration timeout) override;
  void Stop(const GangAction& action, Duration timeout) override;
  void Forget(const GangAction& action, Duration timeout) override;

 private:
  const std::shared_ptr<Session> session_;
  std::unique_ptr<wire::Agent::Client> client_;
};

}  // namespace turmericshift
