#include "main/benches/replay_bench.h"

#include <algorithm>
#include <filesystem>
#include <memory>

#include "core/bench_suite.h"
#include "main/commands/options.h"
#include "servers/replay/replayer.h"

namespace turmericshift {
namespace {

constexpr const char* kTraceFolder = "tests/traces";
constexpr const char* kPolicy = "cells";
constexpr const char* kBaseline = "first_fit";

struct MeasureAim {
  const char* name;
  const char* unit;
  const char* aim;
};
constexpr MeasureAim kMeasures[] = {
    {"completion_mean", "s", "below the baseline"},
    {"fragmentation", "share", "below the baseline"},
    {"zone_change_work_share", "share", "above the baseline"},
};

std::vector<std::filesystem::path> TraceFiles() {
  std::vector<std::filesystem::path> files;
  if (!std::filesystem::is_directory(kTraceFolder)) {
    throw Error(ErrorKind::kInvalidInput,
                std::string("no folder ") + kTraceFolder + " here; run from the source tree");
  }
  for (const auto& entry : std::filesystem::directory_iterator(kTraceFolder)) {
    if (entry.path().extension() == ".jsonl") files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  return files;
}

std::optional<double> ValueOf(const ReplayResult& result, const std::string& name) {
  for (const Measure& measure : result.measures) {
    if (measure.name == name) return measure.value;
  }
  return std::nullopt;
}

class ReplayBench : public BenchSuite {
 public:
  std::string Summary() const override {
    return "policy measures of the traces under tests/traces, compared with first_fit";
  }

  std::vector<BenchFigure> Run(const BenchOptions& /*options*/) override {
    std::vector<BenchFigure> figures;
    for (const std::filesystem::path& file : TraceFiles()) AddFigures(file, &figures);
    return figures;
  }

 private:
  static void AddFigures(const std::filesystem::path& file, std::vector<BenchFigure>* figures) {
    const Trace trace = ParseTrace(file.string(), ReadFileText(file.string()));
    const ReplayResult result = Replayer(trace, kPolicy).Run();
    const ReplayResult baseline = Replayer(trace, kBaseline).Run();
    for (const MeasureAim& measure : kMeasures) {
      const std::optional<double> value = ValueOf(result, measure.name);
      if (!value) continue;
      BenchFigure figure;
      figure.name = file.stem().string() + "." + measure.name;
      figure.value = *value;
      figure.unit = measure.unit;
      figure.baseline = ValueOf(baseline, measure.name);
      figure.aim = measure.aim;
      figures->push_back(figure);
    }
  }
};

}  // namespace

void RegisterReplayBench() {
  BenchSuiteRegistry::Instance().Register("replay", [] { return std::make_unique<ReplayBench>(); });
}

}  // namespace turmericshift
