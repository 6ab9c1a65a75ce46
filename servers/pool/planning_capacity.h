// How large a pool a VM can plan, and to whom it leaves that.
//
// Load pattern: a pool of hundreds of workers beside entry VMs that differ several times in
// processor and link. Planned by the weakest, answers come late, and what is late is done again.
#pragma once

#include <limits>

namespace turmericshift::pool {

// What an entry's VM has; zero: not known.
struct VmResources {
  // Share of a core, and how many times as fast as the usual that core is.
  double processor_share = 0;
  double processor_speed = 1;
  double link_mbit_s = 0;
};

// Of a VM whose resources are not known.
inline constexpr int kUnlimitedCapacity = std::numeric_limits<int>::max();

// How many agents a planner on the VM can serve, also while many of them report at once.
int PlanningCapacity(const VmResources& vm);

// Whether a VM of `own` capacity is too weak for a pool of `agents` that one of `other` would carry
// better.
bool ShouldYieldTo(int other, int own, int agents);

}  // namespace turmericshift::pool
