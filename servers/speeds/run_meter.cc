#include "servers/speeds/run_meter.h"

#include <cmath>

namespace turmericshift::speeds {
namespace {

constexpr int kAllDone = 100;
// With less progress, rounding to whole percents and the time between two readings of a worker
// outweigh its speed.
constexpr int kMinPercent = 6;
constexpr Duration kMinTime = std::chrono::milliseconds(400);
// Errors of a measured share of the work, in percents, and of a measured time, in seconds.
constexpr double kPercentError = 0.7;
constexpr double kTimeError = 0.1;
// Progress over this time is compared with the progress before: two readings of a worker.
constexpr Duration kRecentTime = std::chrono::milliseconds(1500);
// A run that takes this many times as long for the same work as before is slowed.
constexpr double kSlowedRatio = 2.5;

double SecondsPerPercent(int percent, Duration time) { return Seconds(time) / percent; }

Measurement Measure(int percent, Duration time) {
  const double seconds = Seconds(time);
  const double rounding = percent >= kAllDone ? 0 : kPercentError / percent;
  const double timing = kTimeError / seconds;
  return {std::log(seconds * kAllDone / percent), rounding * rounding + timing * timing};
}

}  // namespace

Pace RunMeter::Record(int percent, Time at) {
  // A run that has not begun yet, or has been waiting at the end for its gang, shows no speed.
  if (percent <= 0 || percent >= kAllDone) return Pace::kUnknown;
  if (!first_) {
    first_ = last_ = recent_ = Mark{percent, at};
    return Pace::kUnknown;
  }
  if (percent <= last_->percent) return Pace::kUnknown;
  last_ = Mark{percent, at};
  Pace pace = Pace::kUnknown;
  if (measurement_ && at - recent_->at >= kRecentTime) {
    const double before = std::exp(measurement_->log_time) / kAllDone;
    const double recent = SecondsPerPercent(percent - recent_->percent, at - recent_->at);
    slowed_ = recent > kSlowedRatio * before;
    has_been_slowed_ = has_been_slowed_ || slowed_;
    pace = slowed_ ? Pace::kSlowed : Pace::kSteady;
    recent_ = last_;
  }
  // What a slowed run did until now does not show the lasting speed of its worker.
  if (slowed_) first_ = last_;
  // Until the recent progress has been compared, it may be that of a slowed run.
  if (measurement_ && pace != Pace::kSteady) return pace;
  const int done = percent - first_->percent;
  const Duration time = at - first_->at;
  if (done < kMinPercent || time < kMinTime) return pace;
  const Measurement measured = Measure(done, time);
  if (!measurement_ || measured.variance <= measurement_->variance) measurement_ = measured;
  return pace;
}

void RunMeter::RecordDone(Duration elapsed) {
  if (has_been_slowed_ || elapsed < kMinTime) return;
  const Measurement measured = Measure(kAllDone, elapsed);
  if (!measurement_ || measured.variance < measurement_->variance) measurement_ = measured;
}

}  // namespace turmericshift::speeds
