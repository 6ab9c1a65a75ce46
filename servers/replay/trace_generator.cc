#include "servers/replay/trace_generator.h"

#include <algorithm>
#include <cmath>

namespace turmericshift {
namespace {

constexpr double kPeakShare = 0.5;

Duration Arrival(const GenerateRule& rule, TraceRandom* random) {
  const bool in_peak = rule.peak && random->Share() < kPeakShare;
  if (!in_peak) return FromSeconds(random->Between(Seconds(rule.from), Seconds(rule.until)));
  const double half = Seconds(rule.peak_width) / 2;
  const double middle = Seconds(*rule.peak);
  return FromSeconds(std::max(0.0, random->Between(middle - half, middle + half)));
}

Duration WholeSeconds(double seconds) {
  return std::chrono::seconds(std::max<int64_t>(1, std::llround(seconds)));
}

}  // namespace

double TraceRandom::Share() {
  // SplitMix64 (Steele, Lea, Flood, OOPSLA 2014).
  state_ += 0x9e3779b97f4a7c15ULL;
  uint64_t mixed = state_;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  mixed ^= mixed >> 31;
  return static_cast<double>(mixed >> 11) * 0x1.0p-53;
}

double TraceRandom::LogBetween(double low, double high) {
  return std::exp(Between(std::log(low), std::log(high)));
}

std::vector<TraceEvent> Generate(const GenerateRule& rule, TraceRandom* random) {
  std::vector<TraceEvent> events;
  for (int number = 1; number <= rule.count; ++number) {
    TraceEvent event;
    event.at = Arrival(rule, random);
    event.job.spec = rule.spec;
    event.job.spec.key = rule.prefix + std::to_string(number);
    const double runs = random->LogBetween(Seconds(rule.shortest), Seconds(rule.longest));
    event.job.runs = WholeSeconds(runs);
    event.job.spec.declared_run_time =
        WholeSeconds(runs * random->LogBetween(1 / rule.off_by, rule.off_by));
    event.job.fails = random->Share() < rule.fails;
    events.push_back(std::move(event));
  }
  return events;
}

}  // namespace turmericshift
