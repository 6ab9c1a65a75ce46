#include "modules/routing/register_types.h"

#include "modules/routing/baselines.h"
#include "modules/routing/two_choices.h"

namespace turmericshift {

void RegisterRoutingTypes() {
  RoutingPolicyRegistry::Instance().Register(
      "two_choices", [](uint64_t seed) { return std::make_unique<TwoChoices>(seed); });
  RoutingPolicyRegistry::Instance().Register(
      "round_robin", [](uint64_t /*seed*/) { return std::make_unique<RoundRobin>(); });
  RoutingPolicyRegistry::Instance().Register(
      "least_loaded", [](uint64_t /*seed*/) { return std::make_unique<LeastLoaded>(); });
}

}  // namespace turmericshift
