#include "servers/replay/trace_generator.h"

#include <algorithm>
#include <cmath>

namespace turmericshift {
namespace {

constexpr double kPeakShare = 0.5;

Duration Arrival(const GenerateRule& rule, TraceRandom* random) {
  const bool in_peak = rule.peak && random->UniformReal() < kPeakShare;
  if (!in_peak) return FromSeconds(random->UniformBetween(Seconds(rule.from), Seconds(rule.until)));
  const double half = Seconds(rule.peak_width) / 2;
  const double center = Seconds(*rule.peak);
  return FromSeconds(std::max(0.0, random->UniformBetween(center - half, center + half)));
}

Duration WholeSeconds(double seconds) {
  return std::chrono::seconds(std::max<int64_t>(1, std::llround(seconds)));
}

}  // namespace

double TraceRandom::UniformReal() {
  // SplitMix64 (Steele, Lea, Flood, OOPSLA 2014).
  state_ += 0x9e3779b97f4a7c15ULL;
  uint64_t mixed = state_;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  mixed ^= mixed >> 31;
  return static_cast<double>(mixed >> 11) * 0x1.0p-53;
}

double TraceRandom::LogUniformBetween(double low, double high) {
  return std::exp(UniformBetween(std::log(low), std::log(high)));
}

std::vector<TraceEvent> Generate(const GenerateRule& rule, TraceRandom* random) {
  std::vector<TraceEvent> events;
  for (int number = 1; number <= rule.count; ++number) {
    TraceEvent event;
    event.at = Arrival(rule, random);
    event.job.spec = rule.spec;
    event.job.spec.key = rule.prefix + std::to_string(number);
    const double run_time =
        random->LogUniformBetween(Seconds(rule.shortest), Seconds(rule.longest));
    event.job.run_time = WholeSeconds(run_time);
    event.job.spec.declared_run_time =
        WholeSeconds(run_time * random->LogUniformBetween(1 / rule.off_by, rule.off_by));
    event.job.fails = random->UniformReal() < rule.fails;
    events.push_back(std::move(event));
  }
  return events;
}

}  // namespace turmericshift
