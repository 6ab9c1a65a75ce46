// A placement policy decides which waiting jobs start, on which workers, and which running jobs are
// stopped to free room.
#pragma once

#include "core/plugin_registry.h"
#include "servers/planner/zone_view.h"

namespace turmericshift {

class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;
  // Must be deterministic: the plan depends only on the view, the time and earlier calls.
  virtual Plan Decide(const ZoneView& view, Time now) = 0;
  // Reports that a job completed and would have taken `run_time` in a single attempt. Policies that
  // estimate run times may learn from it.
  virtual void Learn(const JobSpec& /*spec*/, Duration /*run_time*/, Time /*now*/) {}
};

using PlacementPolicyRegistry = PluginRegistry<PlacementPolicy>;

}  // namespace turmericshift
