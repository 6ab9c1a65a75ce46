// A baseline: jobs in order of arrival, each on the fullest workers that still have room; the first
// job that does not fit holds up the rest.
#pragma once

#include "servers/planner/placement_policy.h"

namespace turmericshift {

class BestFit : public PlacementPolicy {
 public:
  Plan Decide(const ZoneView& view, Time now) override;
};

}  // namespace turmericshift
