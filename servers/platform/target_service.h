// Interface to the target on an agent's VM: the service that performs requests.
#pragma once

#include "core/plugin_registry.h"
#include "servers/ports/messages.h"

namespace turmericshift {

class TargetService {
 public:
  virtual ~TargetService() = default;
  // Performs the request and returns the complete answer, except `load`, which the caller fills in.
  // Throws Error, with outcome not_run only if the target certainly did not receive the request.
  virtual ServiceAnswer Perform(const ServiceRequest& request) = 0;
};

// Target clients by name. The factory's argument is the target's address.
using TargetServiceRegistry = PluginRegistry<TargetService, const std::string&>;

}  // namespace turmericshift
