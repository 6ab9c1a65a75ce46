#include "core/bench_suite.h"

#include <algorithm>
#include <array>

#include "core/error.h"

namespace turmericshift {
namespace {

constexpr std::array<const char*, 2> kKindNames = {"policy", "machine"};

}  // namespace

const char* FigureKindName(FigureKind kind) { return kKindNames.at(static_cast<size_t>(kind)); }

std::optional<double> BenchFigure::ratio() const {
  if (!baseline || *baseline == 0) return std::nullopt;
  return value / *baseline;
}

BenchFigure MachineFigure(const std::string& name, const std::string& unit,
                          std::vector<double> samples) {
  if (samples.empty()) throw Error(ErrorKind::kInvalidInput, name + " has no samples");
  std::sort(samples.begin(), samples.end());
  BenchFigure figure;
  figure.name = name;
  figure.unit = unit;
  figure.kind = FigureKind::kMachine;
  const size_t middle = samples.size() / 2;
  const bool odd = samples.size() % 2 == 1;
  figure.value = odd ? samples[middle] : (samples[middle - 1] + samples[middle]) / 2;
  figure.low = samples.front();
  figure.high = samples.back();
  return figure;
}

}  // namespace turmericshift
