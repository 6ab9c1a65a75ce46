// Expands a `generate` line into submissions, the same for the same seed on every machine.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "servers/replay/trace.h"

namespace turmericshift {

// Numbers from a seed. The library's distributions differ between implementations; these do not.
class TraceRandom {
 public:
  explicit TraceRandom(uint64_t seed) : state_(seed) {}

  // Uniform in [0, 1).
  double UniformReal();
  double UniformBetween(double low, double high) { return low + (high - low) * UniformReal(); }
  // UniformBetween, uniform in the logarithm; both bounds above 0.
  double LogUniformBetween(double low, double high);

 private:
  uint64_t state_;
};

struct GenerateRule {
  Duration from{};
  Duration until{};
  int count = 0;
  // Keys are "PREFIX1", "PREFIX2" and so on.
  std::string prefix;
  JobSpec spec;
  // True run times lie between these, uniform in the logarithm.
  Duration shortest{};
  Duration longest{};
  // Declared times are off by up to this factor, either way.
  double off_by = 1;
  // This share of the jobs fails.
  double fails = 0;
  // With a peak, half of the jobs arrive within `peak_width` around `peak`.
  std::optional<Duration> peak;
  Duration peak_width = std::chrono::hours(1);
};

std::vector<TraceEvent> Generate(const GenerateRule& rule, TraceRandom* random);

}  // namespace turmericshift
