#include "servers/pool/run_progress.h"

#include <algorithm>

namespace turmericshift::pool {
namespace {

// With less progress than this between two words, rounding to whole percents and the pause between
// two looks at a worker (1 s) weigh more than the run's speed.
constexpr int kLeastStep = 4;
constexpr int kAllDone = 100;
// A worker is looked at once a second and tells whole percents, so that a run of some ten seconds
// says something new with every look; one of minutes takes a few seconds for each percent.
constexpr Duration kStandstill = std::chrono::milliseconds(2500);
constexpr int kStandstillShare = 20;
// A run that is past its end by all that is known of it: it takes a little longer, and always some
// share of what it has taken already, so that one that stands still is not waited for.
constexpr Duration kLeastLeft = std::chrono::milliseconds(100);
constexpr int kOverdueShare = 4;

}  // namespace

void RunProgress::Note(int percent, Time now) {
  if (heard_ && percent <= heard_->percent) return;
  if (heard_ && !first_) first_ = Mark{percent, now};
  heard_ = Mark{percent, now};
  newest_ = *heard_;
}

bool RunProgress::StandsStill(Duration expected, Time now) const {
  if (!first_ || newest_.percent >= kAllDone) return false;
  return now - newest_.at > std::max(kStandstill, expected / kStandstillShare);
}

Duration RunProgress::Left(Duration estimate, Time since, Time now) const {
  Duration whole_left = estimate - (now - since);
  if (first_ && newest_.percent - first_->percent >= kLeastStep) {
    const Duration each = (newest_.at - first_->at) / (newest_.percent - first_->percent);
    whole_left = each * (kAllDone - newest_.percent) - (now - newest_.at);
  }
  if (whole_left >= kLeastLeft) return whole_left;
  return std::max(kLeastLeft, (now - since) / kOverdueShare);
}

}  // namespace turmericshift::pool
