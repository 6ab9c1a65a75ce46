#include "servers/pool/planning_capacity.h"

#include <algorithm>

namespace turmericshift::pool {
namespace {

// What an agent costs its planner: polls, reports, orders and its share of the rounds, with as much
// again for the moments at which all of them come at once.
constexpr double kProcessorPerAgent = 0.0016;
constexpr double kLinkMbitPerAgent = 0.06;

int Capacity(double resource, double per_agent) {
  return resource > 0 ? static_cast<int>(resource / per_agent) : kUnlimitedCapacity;
}

}  // namespace

int PlanningCapacity(const VmResources& vm) {
  return std::min(Capacity(vm.processor_share * vm.processor_speed, kProcessorPerAgent),
                  Capacity(vm.link_mbit_s, kLinkMbitPerAgent));
}

bool ShouldYieldTo(int other, int own, int agents) { return own < agents && other > own; }

}  // namespace turmericshift::pool
