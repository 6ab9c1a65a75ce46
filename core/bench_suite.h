// Benchmarks as plug-ins: a suite measures a handful of figures; `turmericshift bench` prints them
// all in one table. A library registers its suites in its register_types function.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/plugin_registry.h"

namespace turmericshift {

// Policy figures are exact: two runs with one seed give the same digits. Machine figures depend on
// the computer and its other work, so they carry a range.
enum class FigureKind { kPolicy, kMachine };
const char* FigureKindName(FigureKind kind);

struct BenchFigure {
  // snake_case, unique within its suite.
  std::string name;
  // For a machine figure the median of its runs.
  double value = 0;
  // "s", "us", "MB", "share", "1/s"...; written beside the value.
  std::string unit;
  FigureKind kind = FigureKind::kPolicy;
  // The same figure of the plain alternative that the value is held against; none if there is none.
  std::optional<double> baseline;
  // What is wanted, for people: "below 1.2 s".
  std::string aim;
  // Lowest and highest of the runs, for machine figures.
  std::optional<double> low;
  std::optional<double> high;

  // Value over baseline; none without a baseline or with a baseline of 0.
  std::optional<double> ratio() const;
};

struct BenchOptions {
  uint64_t seed = 1;
  // How often a machine figure is measured.
  int repeats = 5;
};

class BenchSuite {
 public:
  virtual ~BenchSuite() = default;
  // One line for the list of suites.
  virtual std::string Summary() const = 0;
  // Runs on loopback only, and ends by itself within a minute or so.
  virtual std::vector<BenchFigure> Run(const BenchOptions& options) = 0;
};

using BenchSuiteRegistry = PluginRegistry<BenchSuite>;

// A machine figure from the samples of its runs: median, lowest and highest.
// Throws Error(kInvalidInput) without a sample.
BenchFigure MachineFigure(const std::string& name, const std::string& unit,
                          std::vector<double> samples);

}  // namespace turmericshift
