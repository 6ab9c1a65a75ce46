// Decides which waiting jobs start where and which running ones make room.
#pragma once

#include "core/plugin_registry.h"
#include "servers/planner/zone_view.h"

namespace turmericshift {

class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;
  // Must be deterministic in the view, the time and what it was told before.
  virtual Plan Decide(const ZoneView& view, Time now) = 0;
  // A job ended after `run_time`; policies that learn may use it.
  virtual void Learn(const JobSpec& /*spec*/, Duration /*run_time*/, Time /*now*/) {}
};

using PlacementPolicyRegistry = PluginRegistry<PlacementPolicy>;

}  // namespace turmericshift
