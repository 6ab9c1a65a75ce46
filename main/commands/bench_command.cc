#include "main/commands/bench_command.h"

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

#include "core/units.h"
#include "main/commands/options.h"

namespace turmericshift {
namespace {

constexpr size_t kMaxSuites = 1000;
constexpr int kMaxRepeats = 1000;

BenchResult RunSuite(const std::string& name, const BenchOptions& options) {
  BenchResult result;
  result.suite = name;
  const std::unique_ptr<BenchSuite> suite = BenchSuiteRegistry::Instance().Create(name);
  try {
    result.figures = suite->Run(options);
  } catch (const std::exception& error) {
    result.failure = error.what();
  }
  return result;
}

std::string Number(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.6g", value);
  return text.data();
}

std::string Number(const std::optional<double>& value) { return value ? Number(*value) : "-"; }

std::string Row(const std::array<std::string, 6>& cells) {
  static constexpr std::array<int, 5> kWidths = {46, 18, 12, 8, 26};
  std::string row;
  for (size_t index = 0; index < cells.size(); ++index) {
    std::string cell = cells.at(index);
    if (index < kWidths.size()) {
      cell.resize(std::max(cell.size(), static_cast<size_t>(kWidths.at(index))), ' ');
    }
    row += (index == 0 ? "" : "  ") + cell;
  }
  row.erase(row.find_last_not_of(' ') + 1);
  return row + "\n";
}

std::string FigureRow(const std::string& suite, const BenchFigure& figure) {
  const std::string range = figure.low ? Number(figure.low) + " to " + Number(figure.high) : "";
  return Row({suite + "." + figure.name, Number(figure.value) + " " + figure.unit,
              Number(figure.baseline), Number(figure.ratio()), figure.aim, range});
}

void AddNumber(nlohmann::json* json, const char* field, const std::optional<double>& value) {
  if (value) (*json)[field] = *value;
}

nlohmann::json FigureJson(const BenchFigure& figure) {
  nlohmann::json json = {{"name", figure.name},
                         {"value", figure.value},
                         {"unit", figure.unit},
                         {"kind", FigureKindName(figure.kind)},
                         {"aim", figure.aim}};
  AddNumber(&json, "baseline", figure.baseline);
  AddNumber(&json, "ratio", figure.ratio());
  AddNumber(&json, "low", figure.low);
  AddNumber(&json, "high", figure.high);
  return json;
}

void PrintSuites() {
  for (const std::string& name : BenchSuiteRegistry::Instance().names()) {
    const std::string summary = BenchSuiteRegistry::Instance().Create(name)->Summary();
    std::printf("%-14s %s\n", name.c_str(), summary.c_str());
  }
}

}  // namespace

std::string BenchTable(const std::vector<BenchResult>& results) {
  std::string table = Row({"figure", "value", "baseline", "ratio", "aim", "range"});
  for (const BenchResult& result : results) {
    for (const BenchFigure& figure : result.figures) table += FigureRow(result.suite, figure);
    if (!result.failure.empty()) table += result.suite + ": failed: " + result.failure + "\n";
  }
  return table;
}

nlohmann::json BenchJson(const std::vector<BenchResult>& results) {
  nlohmann::json json = nlohmann::json::array();
  for (const BenchResult& result : results) {
    nlohmann::json figures = nlohmann::json::array();
    for (const BenchFigure& figure : result.figures) figures.push_back(FigureJson(figure));
    nlohmann::json suite = {{"suite", result.suite}, {"figures", figures}};
    if (!result.failure.empty()) suite["failure"] = result.failure;
    json.push_back(std::move(suite));
  }
  return json;
}

ExitCode RunBench(const Args& args) {
  CommandOptions options("bench", "run the benchmarks", "[SUITE…]",
                         "turmericshift bench placement --json figures.json");
  options.Flag("list", "list the suites")
      .Value("json", "write the figures to this file")
      .Value("seed", "seed of the generated workloads", "1")
      .Value("repeats", "runs of each machine-dependent measurement", "5");
  if (!options.Parse(args, 0, kMaxSuites)) return ExitCode::kDone;
  if (options.flag("list")) {
    PrintSuites();
    return ExitCode::kDone;
  }
  BenchOptions bench;
  bench.seed = static_cast<uint64_t>(ParseInteger(options.value("seed"), 0, INT64_MAX));
  bench.repeats = static_cast<int>(ParseInteger(options.value("repeats"), 1, kMaxRepeats));
  std::vector<std::string> suites = options.operands();
  if (suites.empty()) suites = BenchSuiteRegistry::Instance().names();
  std::vector<BenchResult> results;
  bool failed = false;
  for (const std::string& suite : suites) {
    std::fprintf(stderr, "bench: %s\n", suite.c_str());
    results.push_back(RunSuite(suite, bench));
    failed = failed || !results.back().failure.empty();
  }
  std::fputs(BenchTable(results).c_str(), stdout);
  if (!options.value("json").empty()) {
    std::ofstream(options.value("json")) << BenchJson(results).dump(2) << "\n";
  }
  return failed ? ExitCode::kFailed : ExitCode::kDone;
}

}  // namespace turmericshift
