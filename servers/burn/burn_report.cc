#include "servers/burn/burn_report.h"

#include <algorithm>

namespace turmericshift {
namespace {

constexpr std::array<const char*, kObjectiveCount> kObjectiveNames = {
    "plans_on_time", "requests_answered", "starts_within_bound"};
constexpr int kPlotIntervals = 96;
constexpr Duration kPlotWindow = std::chrono::hours(1);

int64_t Millis(Duration duration) {
  return duration_cast<std::chrono::milliseconds>(duration).count();
}

// Samples of a row, ordered by time, with cumulative counts of bad samples.
class Series {
 public:
  void Add(const BurnSample& sample) {
    times_.push_back(sample.time_ms);
    bad_.push_back((bad_.empty() ? 0 : bad_.back()) + (sample.good ? 0 : 1));
  }

  // Returns the share of bad samples with from < time <= to, or 0 if there are no samples.
  double BadShare(int64_t from, int64_t to) const {
    const size_t begin = CountUntil(from);
    const size_t end = CountUntil(to);
    if (begin == end) return 0;
    const int64_t bad = bad_[end - 1] - (begin == 0 ? 0 : bad_[begin - 1]);
    return static_cast<double>(bad) / static_cast<double>(end - begin);
  }

 private:
  size_t CountUntil(int64_t time) const {
    return std::upper_bound(times_.begin(), times_.end(), time) - times_.begin();
  }

  std::vector<int64_t> times_;
  std::vector<int64_t> bad_;
};

// Returns the bad share divided by the share that the objective allows. An objective of 1 allows no
// bad samples, so a single bad sample exceeds all thresholds.
double Rate(double bad_share, double wanted_share) {
  constexpr double kSmallestBudget = 1e-9;
  return bad_share / std::max(1 - wanted_share, kSmallestBudget);
}

void FillRates(const Series& series, const BurnReport& report, const BurnOptions& options,
               BurnRow* row) {
  const auto rate = [&](Duration window, int64_t at) {
    return Rate(series.BadShare(at - Millis(window), at), row->wanted_share);
  };
  const auto budget_left = [&](int64_t at) { return 1 - rate(options.budget_period, at); };
  row->budget_left = budget_left(report.now_ms);
  for (size_t index = 0; index < kWindowPairs.size(); ++index) {
    const WindowPair& pair = kWindowPairs.at(index);
    PairBurn& burn = row->pairs.at(index);
    burn.short_rate = rate(pair.short_window, report.now_ms);
    burn.long_rate = rate(pair.long_window, report.now_ms);
    burn.alert = burn.short_rate >= pair.threshold && burn.long_rate >= pair.threshold;
  }
  const int64_t span = report.now_ms - report.from_ms;
  for (int point = 0; point <= kPlotIntervals; ++point) {
    const int64_t at = report.from_ms + span * point / kPlotIntervals;
    row->points.push_back({at, rate(kPlotWindow, at), budget_left(at)});
  }
}

}  // namespace

const char* ObjectiveName(Objective objective) {
  return kObjectiveNames.at(static_cast<size_t>(objective));
}

double ObjectiveShare(Objective objective, const ServiceLevelObjectives& objectives) {
  switch (objective) {
    case Objective::kPlansOnTime:
      return objectives.plans_on_time;
    case Objective::kRequestsAnswered:
      return objectives.requests_answered;
    case Objective::kStartsWithinBound:
      return objectives.starts_within_bound;
  }
  return 1;
}

bool BurnRow::alert() const {
  return std::any_of(pairs.begin(), pairs.end(), [](const PairBurn& pair) { return pair.alert; });
}

bool BurnReport::alert() const {
  return std::any_of(rows.begin(), rows.end(), [](const BurnRow& row) { return row.alert(); });
}

BurnReport MakeBurnReport(const History& history, const Environment& environment,
                          const BurnOptions& options) {
  BurnReport report;
  report.deployment = environment.deployment;
  if (history.events.empty()) return report;
  report.from_ms = history.events.front().time_ms;
  report.now_ms = options.now_ms != 0 ? options.now_ms : history.events.back().time_ms;
  std::map<std::pair<std::string, Objective>, BurnRow> rows;
  std::map<std::pair<std::string, Objective>, Series> series;
  for (const BurnSample& sample : CollectSamples(history, environment, options)) {
    const WorkspaceSpec* workspace = environment.FindWorkspace(sample.workspace);
    if (workspace == nullptr || sample.time_ms > report.now_ms) continue;
    const auto key = std::make_pair(sample.workspace, sample.objective);
    BurnRow& row = rows[key];
    row.workspace = sample.workspace;
    row.objective = sample.objective;
    row.wanted_share = ObjectiveShare(sample.objective, workspace->objectives);
    ++row.total;
    if (!sample.good) ++row.bad;
    if (!sample.good) ++row.causes[sample.cause];
    series[key].Add(sample);
  }
  for (auto& [key, row] : rows) {
    FillRates(series[key], report, options, &row);
    report.rows.push_back(std::move(row));
  }
  return report;
}

}  // namespace turmericshift
