#include "servers/pool/run_progress.h"

#include <algorithm>

namespace turmericshift::pool {
namespace {

// With less progress than this between two reports, rounding to whole percents and the interval of
// 1 s between two readings of a worker outweigh the run's speed.
constexpr int kMinProgressStep = 4;
constexpr int kAllDone = 100;
// Reports that were in transit for different times can show progress at about the same time.
constexpr Duration kMinProgressTime = std::chrono::milliseconds(400);
// A run counts as stalled if it makes no progress for kMinStall and for a twentieth of its expected
// run time. A worker is read once a second and reports whole percents: a run of some ten seconds
// changes with every reading, while a run of minutes takes a few seconds per percent. Estimates may
// be ten times too low, so the time that kStallPercents percents took last is waited for as well.
constexpr Duration kMinStall = std::chrono::milliseconds(2500);
constexpr int kStallDivisor = 20;
constexpr int kStallPercents = 2;
// Remaining time of a run that is past its expected end: a share of the time that it has taken
// already, so that nobody waits for a stalled run, and at least kMinRemainingTime.
constexpr Duration kMinRemainingTime = std::chrono::milliseconds(100);
constexpr int kOverdueDivisor = 4;

}  // namespace

void RunProgress::Update(int percent, Time now) {
  if (last_report_ && percent <= last_report_->percent) return;
  if (last_report_ && !baseline_) baseline_ = Mark{percent, now};
  if (last_report_) {
    time_per_percent_ = (now - last_report_->at) / (percent - last_report_->percent);
  }
  last_report_ = Mark{percent, now};
  latest_ = *last_report_;
}

bool RunProgress::IsStalled(Duration expected, Time now) const {
  if (!baseline_ || latest_.percent >= kAllDone) return false;
  return now - latest_.at >
         std::max({kMinStall, expected / kStallDivisor, kStallPercents * time_per_percent_});
}

Duration RunProgress::RemainingTime(Duration estimate, Time since, Time now) const {
  Duration remaining = estimate - (now - since);
  if (baseline_ && latest_.percent - baseline_->percent >= kMinProgressStep &&
      latest_.at - baseline_->at >= kMinProgressTime) {
    const Duration time_per_percent =
        (latest_.at - baseline_->at) / (latest_.percent - baseline_->percent);
    remaining = time_per_percent * (kAllDone - latest_.percent) - (now - latest_.at);
  }
  if (remaining >= kMinRemainingTime) return remaining;
  return std::max(kMinRemainingTime, (now - since) / kOverdueDivisor);
}

}  // namespace turmericshift::pool
