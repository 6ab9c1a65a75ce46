// A baseline policy: starts jobs in order of arrival, each on the fullest workers that have room.
// The first job that does not fit blocks all later jobs.
#pragma once

#include "servers/planner/placement_policy.h"

namespace turmericshift {

class BestFit : public PlacementPolicy {
 public:
  Plan Decide(const ZoneView& view, Time now) override;
};

}  // namespace turmericshift
