// Chooses the target of a request.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/plugin_registry.h"
#include "servers/ports/messages.h"

namespace turmericshift {

// One target that may take the request.
struct TargetCandidate {
  std::string agent;
  std::string zone;
  TargetLoad load;
  // Requests that this entry has sent there and that are not yet answered.
  int outstanding = 0;
};

// Requests there for each of its slots: what the target last said, or what this entry knows it has
// sent if that is more.
double SlotUtilization(const TargetCandidate& candidate);

class RoutingPolicy {
 public:
  virtual ~RoutingPolicy() = default;
  // Index into `candidates`, which is not empty. `own_zone` is the entry's.
  virtual size_t Choose(const std::vector<TargetCandidate>& candidates, const std::string& own_zone,
                        Time now) = 0;
  // The call took `latency` and ended well or not; for policies that judge targets.
  virtual void Observe(const std::string& /*agent*/, Duration /*latency*/, bool /*well*/,
                       Time /*now*/) {}
};

// The argument seeds the policy's random choices.
using RoutingPolicyRegistry = PluginRegistry<RoutingPolicy, uint64_t>;

}  // namespace turmericshift
