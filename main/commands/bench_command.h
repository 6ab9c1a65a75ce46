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
  // What went wrong; empty if the suite ran to its end.
  std::string failure;
};

// `bench [SUITE…] [--json FILE] [--seed N] [--repeats N] [--list]`; all suites without a name.
// Returns kFailed when a suite failed; the others still run.
ExitCode RunBench(const Words& words);

// Columns: figure, value, baseline, ratio, aim, range.
std::string BenchTable(const std::vector<BenchResult>& results);

nlohmann::json BenchJson(const std::vector<BenchResult>& results);

}  // namespace turmericshift
