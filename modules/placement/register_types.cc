#include "modules/placement/register_types.h"

#include "core/bench_suite.h"
#include "modules/placement/best_fit.h"
#include "modules/placement/cell_policy.h"
#include "modules/placement/decision_time_suite.h"
#include "modules/placement/first_fit.h"
#include "modules/placement/placement_suite.h"

namespace turmericshift {

void RegisterPlacementTypes() {
  PlacementPolicyRegistry::Instance().Register("first_fit",
                                               [] { return std::make_unique<FirstFit>(); });
  PlacementPolicyRegistry::Instance().Register("best_fit",
                                               [] { return std::make_unique<BestFit>(); });
  PlacementPolicyRegistry::Instance().Register("cells",
                                               [] { return std::make_unique<CellPolicy>(); });
  BenchSuiteRegistry::Instance().Register("decision_time",
                                          [] { return std::make_unique<DecisionTimeSuite>(); });
  BenchSuiteRegistry::Instance().Register("placement",
                                          [] { return std::make_unique<PlacementSuite>(); });
}

}  // namespace turmericshift
