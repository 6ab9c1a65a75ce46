// Estimates how large a pool an entry's VM can plan, and whether it should yield planning to
// another entry.
//
// Load pattern: a pool of hundreds of workers, and entry VMs that differ several times in processor
// and link. If the weakest VM plans the pool, its answers are delayed and work is repeated.
#pragma once

#include <limits>

namespace turmericshift::membership {

// Resources of an entry's VM; zero: not known.
struct VmResources {
  // Share of a core, and that core's speed relative to a usual core.
  double processor_share = 0;
  double processor_speed = 1;
  double link_mbit_s = 0;
};

// Capacity of a VM whose resources are not known.
inline constexpr int kUnlimitedCapacity = std::numeric_limits<int>::max();

// Number of agents that a planner on the VM can serve, also while many of them report at the same
// time.
int PlanningCapacity(const VmResources& vm);

// Whether an entry whose VM has capacity `own` should yield the planning of a pool of `agents` to
// one with capacity `other`: its own VM is too weak, and the other is stronger.
bool ShouldYieldTo(int other, int own, int agents);

}  // namespace turmericshift::membership
