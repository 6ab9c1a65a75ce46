#include "servers/pool/job_value.h"

#include <algorithm>
#include <cmath>

namespace turmericshift::pool {
namespace {

// Share of its value that a job brings when it finishes past its due time, but early enough to be
// useful.
constexpr double kPastDueShare = 0.25;
// Run times are never known exactly; a minimum spread also keeps the probability a smooth function.
constexpr double kMinSpread = 0.05;

// Value of each core-second of work of a priority 0 job that finishes on time: this many
// core-seconds of other jobs' work may be given up for it.
constexpr double kValuePerCoreSecond = 4;
// Each lower priority level multiplies kValuePerCoreSecond by this factor.
constexpr double kPriorityFactor = 0.25;
// Share of a job's value that does not depend on the job's size.
constexpr double kFixedValueShare = 0.3;
// Largest size that counts, in units of the queue's mean work.
constexpr double kMaxRelativeSize = 4;

// Number of cores that an accelerator counts as when work is lost; the price that operators use.
constexpr double kCoresPerAccelerator = 8;
constexpr double kMillisPerCore = 1000;

// Probability that a standard normal variable is below `deviations`.
double NormalCdf(double deviations) { return 0.5 * std::erfc(-deviations / std::sqrt(2.0)); }

}  // namespace

double CompletionProbability(const JobTiming& timing, double factor, Duration wait) {
  // If actual times are F times the expected ones, the job finishes on time if
  //   elapsed + wait + remaining F <= factor (target_latency + stretch critical_path F),
  // that is, if F slack >= overdue. `slack` and `overdue` may both be negative.
  const double slack =
      factor * timing.stretch * Seconds(timing.critical_path) - Seconds(timing.remaining);
  const double overdue = Seconds(timing.elapsed + wait) - factor * Seconds(timing.target_latency);
  if (slack >= 0 && overdue <= 0) return 1;
  if (slack <= 0 && overdue >= 0) return 0;
  const double deviations = std::log(overdue / slack) / std::max(timing.spread, kMinSpread);
  return slack > 0 ? NormalCdf(-deviations) : NormalCdf(deviations);
}

double ExpectedValueShare(const JobTiming& timing, Duration wait) {
  const double on_time = CompletionProbability(timing, 1, wait);
  const double useful = std::max(on_time, CompletionProbability(timing, kWorthlessFactor, wait));
  return on_time + kPastDueShare * (useful - on_time);
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
