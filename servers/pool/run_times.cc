#include "servers/pool/run_times.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "servers/learned/saved_rows.h"

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

// Logarithms are saved in thousandths: a thousandth is 0.1 % of a run time.
constexpr double kMilli = 1000;
// Limits of saved logarithms and their variance. They admit run times of a millisecond to years.
constexpr double kMaxSavedLog = 20;
constexpr double kMaxSavedVariance = kMaxSavedLog * kMaxSavedLog;

double SavedValue(const nlohmann::json& value, double min, double max) {
  return learned::NumberIn(value, min * kMilli, max * kMilli) / kMilli;
}

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

nlohmann::json RunTimes::Save(size_t max_bytes, Time) const {
  std::vector<std::pair<int, const std::string*>> best_known;
  for (const auto& [name, queue] : queues_) best_known.emplace_back(queue.count, &name);
  std::stable_sort(best_known.begin(), best_known.end(),
                   [](const auto& left, const auto& right) { return left.first > right.first; });
  learned::SavedRows saved(max_bytes);
  for (const auto& [count, name] : best_known) {
    const Queue& queue = queues_.at(*name);
    saved.Add(*name,
              {std::min(count, kMaxAveragedRuns), std::lround(queue.actual.mean * kMilli),
               std::lround(queue.actual.variance * kMilli), std::lround(queue.ratio.mean * kMilli),
               std::lround(queue.ratio.variance * kMilli)});
  }
  return {{"queues", saved.rows()}};
}

void RunTimes::Load(const nlohmann::json& data, Duration, Time) {
  queues_ = learned::ReadSaved([&] {
    std::map<std::string, Queue> loaded;
    for (const auto& [name, row] : data.at("queues").items()) {
      Queue& queue = loaded[name];
      queue.count = static_cast<int>(learned::IntegerIn(row.at(0), 1, kMaxAveragedRuns));
      queue.actual.mean = SavedValue(row.at(1), -kMaxSavedLog, kMaxSavedLog);
      queue.actual.variance = SavedValue(row.at(2), 0, kMaxSavedVariance);
      queue.ratio.mean = SavedValue(row.at(3), -kMaxSavedLog, kMaxSavedLog);
      queue.ratio.variance = SavedValue(row.at(4), 0, kMaxSavedVariance);
    }
    return loaded;
  });
}

}  // namespace turmericshift::pool
