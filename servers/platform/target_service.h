// The target beside an agent: the service that does the work of requests.
#pragma once

#include "core/plugin_registry.h"
#include "servers/ports/messages.h"

namespace turmericshift {

class TargetService {
 public:
  virtual ~TargetService() = default;
  // Performs the request and returns the whole answer; `load` is left to the caller to fill.
  // Throws Error: outcome not_run only if the target surely did not receive the request.
  virtual ServiceAnswer Perform(const ServiceRequest& request) = 0;
};

// Clients of targets by name; the argument is the target's address.
using TargetServiceRegistry = PluginRegistry<TargetService, const std::string&>;

}  // namespace turmericshift
