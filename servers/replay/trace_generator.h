// Expands a `generate` line into submissions. The result depends only on the seed, also across
// platforms.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "servers/replay/trace.h"

namespace turmericshift {

// A seeded random generator whose numbers are the same on all platforms, unlike those of the
// standard library's distributions.
class TraceRandom {
 public:
  explicit TraceRandom(uint64_t seed) : state_(seed) {}

  // Uniform in [0, 1).
  double UniformReal();
  double UniformBetween(double low, double high) { return low + (high - low) * UniformReal(); }
  // Uniform in the logarithm. Both bounds must be above 0.
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
  // Range of the true run times, which are distributed uniformly in the logarithm.
  Duration shortest{};
  Duration longest{};
  // Declared run times are wrong by up to this factor in either direction.
  double off_by = 1;
  // The share of the jobs that fail.
  double fails = 0;
  // If there is a peak, half of the jobs arrive within `peak_width` centered on `peak`.
  std::optional<Duration> peak;
  Duration peak_width = std::chrono::hours(1);
};

std::vector<TraceEvent> Generate(const GenerateRule& rule, TraceRandom* random);

}  // namespace turmericshift
