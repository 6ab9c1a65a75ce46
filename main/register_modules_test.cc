#include "main/register_modules.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "core/bench_suite.h"
#include "servers/entry/routing_policy.h"
#include "servers/planner/placement_policy.h"
#include "servers/platform/log_service.h"
#include "servers/platform/target_service.h"
#include "servers/platform/worker_service.h"

namespace turmericshift {
namespace {

template <typename Registry>
bool Has(const std::string& name) {
  const std::vector<std::string> names = Registry::Instance().names();
  return std::find(names.begin(), names.end(), name) != names.end();
}

// The linker drops object files that nothing references. A missing plug-in would be noticed only
// when an operator's settings name it.
TEST(RegisterModulesTest, RegistersAllPlugins) {
  RegisterModules();
  EXPECT_TRUE(Has<LogServiceRegistry>("http"));
  EXPECT_TRUE(Has<TargetServiceRegistry>("http"));
  EXPECT_TRUE(Has<WorkerServiceRegistry>("stand_in"));
  EXPECT_TRUE(Has<PlacementPolicyRegistry>("first_fit"));
  EXPECT_TRUE(Has<RoutingPolicyRegistry>("two_choices"));
  EXPECT_TRUE(Has<BenchSuiteRegistry>("capacity"));
  EXPECT_TRUE(Has<BenchSuiteRegistry>("replay"));
}

TEST(RegisterModulesTest, UnknownPluginErrorListsKnownPlugins) {
  RegisterModules();
  try {
    PlacementPolicyRegistry::Instance().Create("best");
    FAIL() << "an unknown plug-in was created";
  } catch (const Error& error) {
    EXPECT_EQ(error.kind(), ErrorKind::kInvalidInput);
    EXPECT_NE(std::string(error.what()).find("first_fit"), std::string::npos);
  }
}

}  // namespace
}  // namespace turmericshift
