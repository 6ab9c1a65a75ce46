// The policy by guaranteed cells. Work within its workspace's guarantee goes first and may have
// lent room back; other work runs on lent room, shortest expected first with aging and fairness
// between workspaces. A large gang that has waited gets workers reserved; smaller work fills them
// meanwhile only if it is expected to be gone in time.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "modules/placement/run_time_estimator.h"
#include "modules/placement/task_placer.h"
#include "servers/planner/placement_policy.h"

namespace turmericshift {

using Reservations = std::map<std::string, std::vector<std::string>>;

class CellPolicy : public PlacementPolicy {
 public:
  Plan Decide(const ZoneView& view, Time now) override;
  void Learn(const JobSpec& spec, Duration run_time, Time now) override;

 private:
  // What has to leave a zone that is out.
  Plan DrainZone(const ZoneView& view, Time now);

  RunTimeEstimator estimator_;
  // Since when this policy has seen its zone out. A planner that takes over counts anew.
  std::optional<Time> out_since_;
  // Workers that a waiting large gang gathers, by its id.
  Reservations reservations_;
};

}  // namespace turmericshift
