#include <algorithm>
#include <cmath>

#include "servers/pool/job_value.h"

namespace turmericshift::pool {
namespace {

// A job that comes late, and not too late to be of use, brings this share of its worth.
constexpr double kShareWhenLate = 0.25;
// Times are never known to the last digit; it also keeps the likelihood a smooth function.
constexpr double kLeastSpread = 0.05;

// Each core-second of a job of priority 0 that comes in time makes up for so many of others' work,
constexpr double kWorthOfWork = 4;
// of each lower priority for so many times less.
constexpr double kWorthByPriority = 0.25;
// Part of a job's worth that does not depend on its size, and the size that counts at the most, in
// usual jobs of its queue.
constexpr double kWorthOfAnySize = 0.3;
constexpr double kMostSizes = 4;

// An accelerator weighs as much as so many cores in work thrown away; the operators' own price.
constexpr double kCoresPerAccelerator = 8;
constexpr double kMillisPerCore = 1000;

// Likelihood that a normal deviate is below `deviations`.
double Normal(double deviations) { return 0.5 * std::erfc(-deviations / std::sqrt(2.0)); }

}  // namespace

double CompletionProbability(const JobTiming& timing, double factor, Duration wait) {
  // With times that are F times what is expected the job is done in time if
  //   elapsed + wait + rest F <= factor (target + stretch chain F),
  // that is, if F slack >= late, where both may be negative.
  const double slack =
      factor * timing.stretch * Seconds(timing.critical_path) - Seconds(timing.remaining);
  const double late = Seconds(timing.elapsed + wait) - factor * Seconds(timing.target_latency);
  if (slack >= 0 && late <= 0) return 1;
  if (slack <= 0 && late >= 0) return 0;
  const double deviations = std::log(late / slack) / std::max(timing.spread, kLeastSpread);
  return slack > 0 ? Normal(-deviations) : Normal(deviations);
}

double ExpectedValueShare(const JobTiming& timing, Duration wait) {
  const double in_time = CompletionProbability(timing, 1, wait);
  const double of_use = std::max(in_time, CompletionProbability(timing, kUselessFactor, wait));
  return in_time + kShareWhenLate * (of_use - in_time);
}

double CoreEquivalent(const Room& room) {
  return static_cast<double>(room.processor_millis) / kMillisPerCore +
         kCoresPerAccelerator * static_cast<double>(room.accelerators);
}

double ValueOnTime(int priority, double work, double usual_work) {
  const double most = kMostSizes * usual_work;
  const double sized = kWorthOfAnySize * usual_work + (1 - kWorthOfAnySize) * work;
  return kWorthOfWork * std::pow(kWorthByPriority, priority) * std::min(sized, most);
}

}  // namespace turmericshift::pool
