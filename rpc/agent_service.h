// Serves an AgentPort to the peer of a session.
#pragma once

#include <peer.capnp.h>

#include "core/thread_pool.h"
#include "servers/ports/agent_port.h"

namespace turmericshift {

// Thread pools for the calls, which block. Requests have a pool of their own, so that slow requests
// can't delay control calls such as stopping a gang.
struct AgentPools {
  ThreadPool requests;
  ThreadPool control;
};

// Returns a service that passes calls to `agent`. `agent` and `pools` must outlive its session.
wire::Agent::Client MakeAgentService(AgentPort* agent, AgentPools* pools);

}  // namespace turmericshift
