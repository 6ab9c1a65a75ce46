#include "modules/routing/register_types.h"

#include "modules/routing/two_choices.h"

namespace turmericshift {

void RegisterRoutingTypes() {
  RoutingPolicyRegistry::Instance().Register(
      "two_choices", [](uint64_t seed) { return std::make_unique<TwoChoices>(seed); });
}

}  // namespace turmericshift
