#include "main/commands/bench_command.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace turmericshift {
namespace {

class FixedSuite : public BenchSuite {
 public:
  std::string Summary() const override { return "a fixed figure"; }
  std::vector<BenchFigure> Run(const BenchOptions& /*options*/) override {
    BenchFigure figure;
    figure.name = "mean_wait";
    figure.value = 5;
    figure.unit = "s";
    figure.baseline = 10;
    figure.aim = "below 6 s";
    return {figure, MachineFigure("call", "us", {3, 1, 2, 9})};
  }
};

class BrokenSuite : public BenchSuite {
 public:
  std::string Summary() const override { return "always fails"; }
  std::vector<BenchFigure> Run(const BenchOptions& /*options*/) override {
    throw Error(ErrorKind::kInternal, "out of order");
  }
};

void RegisterSuites() {
  auto& registry = BenchSuiteRegistry::Instance();
  registry.Register("test_fixed", [] { return std::make_unique<FixedSuite>(); });
  registry.Register("test_broken", [] { return std::make_unique<BrokenSuite>(); });
}

TEST(BenchTest, TableAndJsonContainAllColumns) {
  const std::vector<BenchResult> results = {{"suite", FixedSuite().Run({}), ""}};
  const std::string table = BenchTable(results);
  EXPECT_NE(table.find("suite.mean_wait"), std::string::npos);
  EXPECT_NE(table.find("0.5 "), std::string::npos);
  EXPECT_NE(table.find("1 to 9"), std::string::npos);
  const nlohmann::json json = BenchJson(results);
  EXPECT_EQ(json[0]["figures"][0]["ratio"], 0.5);
  EXPECT_EQ(json[0]["figures"][1]["value"], 2.5);
  EXPECT_EQ(json[0]["figures"][1]["kind"], "machine");
}

// A suite can fail on a computer that lacks a resource. The other suites must still report their
// figures, and the exit code must show the failure.
TEST(BenchTest, FailedSuiteIsReportedAndOtherSuitesRun) {
  RegisterSuites();
  EXPECT_EQ(RunBench({"test_fixed"}), ExitCode::kDone);
  EXPECT_EQ(RunBench({"test_broken", "test_fixed"}), ExitCode::kFailed);
}

TEST(BenchTest, UnknownSuitesAndOptionsAreRejected) {
  EXPECT_THROW(RunBench({"no_such_suite"}), Error);
  EXPECT_THROW(RunBench({"--repeats", "0"}), Error);
  EXPECT_THROW(RunBench({"--colour"}), Error);
}

}  // namespace
}  // namespace turmericshift
