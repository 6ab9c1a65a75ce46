#include "servers/membership/planning_capacity.h"

#include <algorithm>

namespace turmericshift::membership {
namespace {

// Cost of an agent to its planner: polls, reports, orders and its share of the planning rounds,
// doubled for the moments when all agents report at the same time.
constexpr double kCoresPerAgent = 0.0016;
constexpr double kLinkMbitPerAgent = 0.06;

int Capacity(double resource, double per_agent) {
  return resource > 0 ? static_cast<int>(resource / per_agent) : kUnlimitedCapacity;
}

}  // namespace

int PlanningCapacity(const VmResources& vm) {
  return std::min(Capacity(vm.processor_share * vm.processor_speed, kCoresPerAgent),
                  Capacity(vm.link_mbit_s, kLinkMbitPerAgent));
}

bool ShouldYieldTo(int other, int own, int agents) { return own < agents && other > own; }

}  // namespace turmericshift::membership
