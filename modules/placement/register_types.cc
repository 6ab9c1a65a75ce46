#include "modules/placement/register_types.h"

#include "modules/placement/first_fit.h"

namespace turmericshift {

void RegisterPlacementTypes() {
  PlacementPolicyRegistry::Instance().Register("first_fit",
                                               [] { return std::make_unique<FirstFit>(); });
}

}  // namespace turmericshift
