// Policies that choose the target of a request.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/plugin_registry.h"
#include "servers/ports/messages.h"

namespace turmericshift {

// A target that may receive the request.
struct TargetCandidate {
  std::string agent;
  std::string zone;
  TargetLoad load;
  // Requests that this entry has sent to the target and that are not yet answered.
  int outstanding = 0;
};

// The target's requests per slot, by the target's last reported load or this entry's outstanding
// requests, whichever is higher. Above 1 when requests queue.
double SlotUtilization(const TargetCandidate& candidate);

class RoutingPolicy {
 public:
  virtual ~RoutingPolicy() = default;
  // Returns an index into `candidates`, which must not be empty. `own_zone` is the entry's zone.
  virtual size_t Choose(const std::vector<TargetCandidate>& candidates, const std::string& own_zone,
                        Time now) = 0;
  // Reports the result of one call, for policies that rate targets by their results.
  virtual void Observe(const std::string& /*agent*/, Duration /*latency*/, bool /*success*/,
                       Time /*now*/) {}
};

// The argument seeds the policy's random choices.
using RoutingPolicyRegistry = PluginRegistry<RoutingPolicy, uint64_t>;

}  // namespace turmericshift
