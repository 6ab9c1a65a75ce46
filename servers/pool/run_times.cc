#include "servers/pool/run_times.h"

#include <algorithm>
#include <cmath>

namespace turmericshift::pool {
namespace {

// Fewer runs than this tell the spread too badly to prefer one guide to the other.
constexpr int kLeastRuns = 6;
// Older runs count less and less, so that a queue whose work changes is followed within so many.
constexpr int kMemory = 200;
// Keeps logarithms in bounds.
constexpr double kLeastSeconds = 0.001;

// What is assumed of a queue of which little is known: half of the callers are off by more than
// three fifths.
constexpr double kUnknownSpread = 0.7;

}  // namespace

void RunTimes::Spread::Add(double value, int count) {
  const double weight = 1.0 / std::min(count, kMemory);
  const double step = value - mean;
  mean += weight * step;
  squares = (1 - weight) * (squares + weight * step * step);
}

void RunTimes::Note(const std::string& queue, Duration estimate, Duration actual) {
  Queue& known = queues_[queue];
  ++known.count;
  const double seconds = std::max(kLeastSeconds, Seconds(actual));
  known.actual.Add(std::log(seconds), known.count);
  known.ratio.Add(std::log(seconds / std::max(kLeastSeconds, Seconds(estimate))), known.count);
}

Duration RunTimes::ExpectedTime(const std::string& queue, Duration estimate) const {
  const auto found = queues_.find(queue);
  if (found == queues_.end() || found->second.count < kLeastRuns) return estimate;
  const Queue& known = found->second;
  const double seconds = known.actual.squares < known.ratio.squares
                             ? std::exp(known.actual.mean)
                             : Seconds(estimate) * std::exp(known.ratio.mean);
  return FromSeconds(seconds);
}

double RunTimes::SpreadOf(const std::string& queue) const {
  const auto found = queues_.find(queue);
  if (found == queues_.end() || found->second.count < kLeastRuns) return kUnknownSpread;
  return std::sqrt(std::min(found->second.actual.squares, found->second.ratio.squares));
}

}  // namespace turmericshift::pool
