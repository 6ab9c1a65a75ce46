// `turmericshift bench`: runs benchmark suites and prints one table of their figures.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "core/bench_suite.h"
#include "main/commands.h"

namespace turmericshift {

// The figures of one suite.
struct BenchResult {
  std::string suite;
  std::vector<BenchFigure> figures;
  // Error message of the failed suite; empty if the suite completed.
  std::string failure;
};

// `bench [SUITE…] [--json FILE] [--seed N] [--repeats N] [--list]`; runs all suites if none is
// named. Returns kFailed if a suite failed; the remaining suites still run.
ExitCode RunBench(const Args& args);

// Formats the results as a text table with the columns figure, value, baseline, ratio, aim and
// range.
std::string BenchTable(const std::vector<BenchResult>& results);

nlohmann::json BenchJson(const std::vector<BenchResult>& results);

}  // namespace turmericshift
