#include "servers/pool/job_value.h"

#include <algorithm>
#include <cmath>

namespace turmericshift::pool {
namespace {

// A job that comes late, and not too late to be of use, brings this share of its worth.
constexpr double kLateShare = 0.25;
// Times are never known to the last digit; it also keeps the likelihood a smooth function.
constexpr double kMinSpread = 0.05;

// Each core-second of a job of priority 0 that comes in time makes up for so many of others' work,
constexpr double kValuePerCoreSecond = 4;
// of each lower priority for so many times less.
constexpr double kPriorityFactor = 0.25;
// Part of a job's worth that does not depend on its size, and the size that counts at the most, in
// usual jobs of its queue.
constexpr double kFixedValueShare = 0.3;
constexpr double kMaxRelativeSize = 4;

// An accelerator weighs as much as so many cores in work thrown away; the operators' own price.
constexpr double kCoresPerAccelerator = 8;
constexpr double kMillisPerCore = 1000;

// Likelihood that a normal deviate is below `deviations`.
double NormalCdf(double deviations) { return 0.5 * std::erfc(-deviations / std::sqrt(2.0)); }

}  // namespace

double CompletionProbability(const JobTiming& timing, double factor, Duration wait) {
  // With times that are F times what is expected the job is done in time if
  //   elapsed + wait + rest F <= factor (target + stretch chain F),
  // that is, if F slack >= late, where both may be negative.
  const double slack =
      factor * timing.stretch * Seconds(timing.critical_path) - Seconds(timing.remaining);
  const double lag = Seconds(timing.elapsed + wait) - factor * Seconds(timing.target_latency);
  if (slack >= 0 && lag <= 0) return 1;
  if (slack <= 0 && lag >= 0) return 0;
  const double deviations = std::log(lag / slack) / std::max(timing.spread, kMinSpread);
  return slack > 0 ? NormalCdf(-deviations) : NormalCdf(deviations);
}

double ExpectedValueShare(const JobTiming& timing, Duration wait) {
  const double on_time = CompletionProbability(timing, 1, wait);
  const double useful = std::max(on_time, CompletionProbability(timing, kUselessFactor, wait));
  return on_time + kLateShare * (useful - on_time);
}

double CoreEquivalent(const Room& room) {
  return static_cast<double>(room.processor_millis) / kMillisPerCore +
         kCoresPerAccelerator * static_cast<double>(room.accelerators);
}

double ValueOnTime(int priority, double work, double mean_work) {
  const double max_value_size = kMaxRelativeSize * mean_work;
  const double sized = kFixedValueShare * mean_work + (1 - kFixedValueShare) * work;
  return kValuePerCoreSecond * std::pow(kPriorityFactor, priority) *
         std::min(sized, max_value_size);
}

}  // namespace turmericshift::pool
