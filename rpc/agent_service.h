// An AgentPort offered to the peer of a session.
#pragma once

#include <peer.capnp.h>

#include "core/thread_pool.h"
#include "servers/ports/agent_port.h"

namespace turmericshift {

// Calls run on pools, since they block: requests apart from gang steps, so that a target full of
// slow requests can't keep a gang from being stopped.
struct AgentPools {
  ThreadPool requests;
  ThreadPool control;
};

// `agent` and `pools` must outlive the service's session.
wire::Agent::Client MakeAgentService(AgentPort* agent, AgentPools* pools);

}  // namespace turmericshift
