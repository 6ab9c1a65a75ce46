#include "servers/pool/run_times.h"

#include <algorithm>
#include <cmath>

namespace turmericshift::pool {
namespace {

// Fewer runs than this do not show reliably whether the queue's mean or the callers' estimates
// predict better.
constexpr int kMinRuns = 6;
// Length of the moving averages in runs: after a change of a queue's work, the averages adapt
// within this number of runs.
constexpr int kMaxAveragedRuns = 200;
// Shortest time, to keep logarithms finite.
constexpr double kMinSeconds = 0.001;

// Spread assumed of a queue with few runs: half of the callers' estimates are off by more than
// three fifths.
constexpr double kDefaultSpread = 0.7;

}  // namespace

void RunTimes::LogStatistics::Add(double value, int count) {
  const double weight = 1.0 / std::min(count, kMaxAveragedRuns);
  const double step = value - mean;
  mean += weight * step;
  variance = (1 - weight) * (variance + weight * step * step);
}

void RunTimes::Record(const std::string& queue, Duration estimate, Duration actual) {
  Queue& known = queues_[queue];
  ++known.count;
  const double seconds = std::max(kMinSeconds, Seconds(actual));
  known.actual.Add(std::log(seconds), known.count);
  known.ratio.Add(std::log(seconds / std::max(kMinSeconds, Seconds(estimate))), known.count);
}

Duration RunTimes::ExpectedTime(const std::string& queue, Duration estimate) const {
  const auto found = queues_.find(queue);
  if (found == queues_.end() || found->second.count < kMinRuns) return estimate;
  const Queue& known = found->second;
  const double seconds = known.actual.variance < known.ratio.variance
                             ? std::exp(known.actual.mean)
                             : Seconds(estimate) * std::exp(known.ratio.mean);
  return FromSeconds(seconds);
}

double RunTimes::SpreadOf(const std::string& queue) const {
  const auto found = queues_.find(queue);
  if (found == queues_.end() || found->second.count < kMinRuns) return kDefaultSpread;
  return std::sqrt(std::min(found->second.actual.variance, found->second.ratio.variance));
}

}  // namespace turmericshift::pool
