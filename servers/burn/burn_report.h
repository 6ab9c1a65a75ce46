// Computes from the daemons' log lines how fast each workspace uses up its error budgets. The rate
// in a window is the share of bad events, so quiet and busy times are treated alike, whatever the
// hour. Burn rates use pairs of a long and a short window, as in the Site Reliability Workbook,
// chapter 5.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "servers/config/environment.h"
#include "servers/history/history_event.h"

namespace turmericshift {

enum class Objective { kPlansOnTime, kRequestsAnswered, kStartsWithinBound };
inline constexpr int kObjectiveCount = 3;
const char* ObjectiveName(Objective objective);
// Returns the share of events that must be good, from 0 to 1.
double ObjectiveShare(Objective objective, const ServiceLevelObjectives& objectives);

struct BurnOptions {
  // A plan is on time if it is done within its declared run time multiplied by this factor, plus
  // the reclaim bound.
  double on_time_factor = 2;
  // Period for which the error budget is granted.
  Duration budget_period = std::chrono::hours(24 * 30);
  // Time of the report in milliseconds since 1970. 0: the time of the history's last event.
  int64_t now_ms = 0;
};

// An event that an objective counts.
struct BurnSample {
  int64_t time_ms = 0;
  std::string workspace;
  Objective objective = Objective::kPlansOnTime;
  bool good = true;
  // Why the event is bad, in snake_case; empty if the event is good.
  std::string cause;
};

struct WindowPair {
  Duration short_window;
  Duration long_window;
  // An alert is raised if the burn rate in both windows reaches this threshold.
  double threshold;
};
inline constexpr std::array<WindowPair, 3> kWindowPairs = {{
    {std::chrono::minutes(5), std::chrono::hours(1), 14.4},
    {std::chrono::minutes(30), std::chrono::hours(6), 6},
    {std::chrono::hours(6), std::chrono::hours(24 * 3), 1},
}};

// Burn rates over a pair of windows. At a rate of 1 the budget lasts exactly its period.
struct PairBurn {
  double short_rate = 0;
  double long_rate = 0;
  bool alert = false;
};

struct BurnPoint {
  int64_t time_ms = 0;
  double rate = 0;
  double budget_left = 1;
};

struct BurnRow {
  std::string workspace;
  Objective objective = Objective::kPlansOnTime;
  double wanted_share = 0;
  int64_t total = 0;
  int64_t bad = 0;
  // Share of the budget that is left; negative if the budget is exceeded.
  double budget_left = 1;
  std::array<PairBurn, kWindowPairs.size()> pairs;
  // Number of bad events by cause.
  std::map<std::string, int64_t> causes;
  // For plots: at each point the burn rate over the hour before, and the budget left.
  std::vector<BurnPoint> points;

  bool alert() const;
};

struct BurnReport {
  std::string deployment;
  int64_t from_ms = 0;
  int64_t now_ms = 0;
  // Ordered by workspace and objective. Pairs without samples are left out.
  std::vector<BurnRow> rows;

  bool alert() const;
};

// Returns the events of the history that objectives count. Errors that the caller can fix are not
// counted.
std::vector<BurnSample> CollectSamples(const History& history, const Environment& environment,
                                       const BurnOptions& options);

BurnReport MakeBurnReport(const History& history, const Environment& environment,
                          const BurnOptions& options);

}  // namespace turmericshift
