// Benchmark suites as plug-ins. Each suite measures a few figures, and `turmericshift bench` prints
// all figures in one table. A library registers its suites in its register_types function.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/plugin_registry.h"

namespace turmericshift {

// Policy figures are deterministic: two runs with the same seed give the same digits. Machine
// figures depend on the computer and its other load, so they have a range.
enum class FigureKind { kPolicy, kMachine };
const char* FigureKindName(FigureKind kind);

struct BenchFigure {
  // In snake_case, unique within the suite.
  std::string name;
  // For FigureKind::kMachine, the median of the runs.
  double value = 0;
  // Unit printed after the value, such as "s", "us", "MB", "share" or "1/s".
  std::string unit;
  FigureKind kind = FigureKind::kPolicy;
  // The same figure for the simple alternative that the value is compared with, if there is one.
  std::optional<double> baseline;
  // Goal in a readable form, such as "below 1.2 s".
  std::string aim;
  // Lowest and highest value of the runs, for FigureKind::kMachine only.
  std::optional<double> low;
  std::optional<double> high;

  // Returns value / baseline, or nothing if there is no baseline or the baseline is 0.
  std::optional<double> ratio() const;
};

struct BenchOptions {
  uint64_t seed = 1;
  // Number of runs in which a figure of FigureKind::kMachine is measured.
  int repeats = 5;
};

class BenchSuite {
 public:
  virtual ~BenchSuite() = default;
  // Returns a one-line description for the list of suites.
  virtual std::string Summary() const = 0;
  // Measures the suite's figures. Uses only the loopback interface and takes about a minute at
  // most.
  virtual std::vector<BenchFigure> Run(const BenchOptions& options) = 0;
};

using BenchSuiteRegistry = PluginRegistry<BenchSuite>;

// Makes a figure of FigureKind::kMachine (median, lowest, highest) from the samples of its runs.
// Throws Error(kInvalidInput) if `samples` is empty.
BenchFigure MachineFigure(const std::string& name, const std::string& unit,
                          std::vector<double> samples);

}  // namespace turmericshift
