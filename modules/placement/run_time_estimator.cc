#include "modules/placement/run_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace turmericshift {
namespace {

// The minimum weight of a new run in the average, once many runs have been observed.
constexpr double kNewestWeight = 0.1;
// The declared time counts as this many observed runs, because a single run is weak evidence.
constexpr int kDeclaredWeight = 2;
// From this progress on, the progress that the attempt has reported predicts its end better than
// the estimate.
constexpr double kMinReportedProgress = 0.05;
constexpr double kMinSeconds = 1;
// A job that has exceeded its estimate is expected to run on for at least this share of the time it
// has run.
constexpr double kOverrunShare = 0.5;

}  // namespace

void RunTimeEstimator::Learn(const JobSpec& spec, Duration run_time) {
  const double declared = std::max(kMinSeconds, Seconds(spec.declared_run_time));
  const double ratio = std::log(std::max(kMinSeconds, Seconds(run_time)) / declared);
  RunTimeRatio& known = ratios_[spec.workspace];
  ++known.runs;
  const double weight = std::max(kNewestWeight, 1.0 / (known.runs + kDeclaredWeight));
  known.mean_log += weight * (ratio - known.mean_log);
}

double RunTimeEstimator::TotalSeconds(const JobSpec& spec) const {
  const double declared = std::max(kMinSeconds, Seconds(spec.declared_run_time));
  const auto known = ratios_.find(spec.workspace);
  return known == ratios_.end() ? declared : declared * std::exp(known->second.mean_log);
}

double RunTimeEstimator::RemainingSeconds(const WaitingJob& job) const {
  return std::max(kMinSeconds, TotalSeconds(job.spec) * (1 - job.progress));
}

double RunTimeEstimator::RemainingSeconds(const RunningJob& job, Time now) const {
  const double ran = Seconds(now - job.started);
  const double gained = job.progress - job.started_progress;
  if (gained >= kMinReportedProgress && ran > 0) return ran * (1 - job.progress) / gained;
  const double left = TotalSeconds(job.spec) * (1 - job.started_progress) - ran;
  return std::max({left, ran * kOverrunShare, kMinSeconds});
}

}  // namespace turmericshift
