// Runs the demo in one process: publishes a document, runs a gang job, answers a request, and takes
// a zone out and in.
#include <gtest/gtest.h>

#include "main/commands.h"
#include "main/register_modules.h"

namespace turmericshift {
namespace {

TEST(WholePathTest, DemoRunsPotkocsi) {
  RegisterModules();
  EXPECT_EQ(RunDemo({"examples/potkocsi/environment.ini"}), ExitCode::kDone);
}

TEST(WholePathTest, DemoRunsThistleAndRind) {
  RegisterModules();
  EXPECT_EQ(RunDemo({"examples/thistle-and-rind/environment.ini"}), ExitCode::kDone);
}

}  // namespace
}  // namespace turmericshift
