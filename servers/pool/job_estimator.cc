#include <algorithm>

#include "servers/pool/job_estimator.h"

namespace turmericshift::pool {
namespace {

// A step that needs more than one in so many of the pool's accelerators, processors or memory is
// not expected to have them all at once: its job is due later accordingly.
constexpr int64_t kFairShare = 4;

// How many times the share of the pool that a step may have at once goes into `needed`.
int64_t Waves(int64_t needed, int64_t whole) {
  const int64_t share = std::max<int64_t>(whole / kFairShare, 1);
  return whole == 0 ? 1 : (needed + share - 1) / share;
}

// In how many goes the step is done by a pool of `whole`. A gang is done in one.
int64_t WavesOf(const StepSpec& step, const Room& whole) {
  if (step.gang) return 1;
  return std::max({int64_t{1},
                   Waves(step.tasks * step.need.processor_millis, whole.processor_millis),
                   Waves(step.tasks * step.need.memory_mib, whole.memory_mib),
                   Waves(step.tasks * step.need.accelerators, whole.accelerators)});
}

}  // namespace

int64_t ReleaseMs(const JobSpec& spec, int occurrence) {
  if (spec.schedule.occurrences == 0) return spec.accepted_ms;
  return spec.schedule.first_due_ms + occurrence * spec.schedule.interval_ms;
}

void JobEstimator::RecordRun(const std::string& queue, Duration estimate, Duration actual) {
  run_times_.Note(queue, estimate, actual);
}

void JobEstimator::ResetJobs() { usual_work_.clear(); }

void JobEstimator::RecordJob(const JobSpec& spec) {
  Mean& mean = usual_work_[spec.queue];
  mean.sum += WorkOf(spec);
  ++mean.count;
}

Duration JobEstimator::ExpectedTime(const JobSpec& spec, const StepSpec& step) const {
  if (!Uses(Mechanism::kLearnedTimes)) return step.estimate;
  return run_times_.ExpectedTime(spec.queue, step.estimate);
}

JobTiming JobEstimator::TimingOf(const JobSpec& spec, const QueueTerms& terms,
                                 const StepPlace& place, int64_t wall_ms) const {
  JobTiming timing;
  timing.elapsed = std::chrono::milliseconds(wall_ms - ReleaseMs(spec, place.occurrence));
  timing.remaining = CriticalPathFrom(
      spec, place.step, [&](const StepSpec& step) { return ExpectedTime(spec, step); });
  timing.critical_path = FairChain(spec, terms.service);
  timing.stretch = terms.stretch;
  timing.target_latency = terms.target_latency;
  if (Uses(Mechanism::kOnTimeProbability)) timing.spread = run_times_.SpreadOf(spec.queue);
  return timing;
}

double JobEstimator::ValueOf(const JobSpec& spec, const QueueTerms& terms) const {
  const double work = WorkOf(spec);
  const auto found = usual_work_.find(spec.queue);
  const double usual = found == usual_work_.end() ? work : found->second.sum / found->second.count;
  return ValueOnTime(terms.priority, work, usual);
}

double JobEstimator::WorkOf(const JobSpec& spec) const {
  double work = 0;
  for (const StepSpec& step : spec.steps) {
    work += CoreEquivalent(step.need) * step.tasks * Seconds(ExpectedTime(spec, step));
  }
  return work;
}

Duration JobEstimator::FairChain(const JobSpec& spec, const std::string& service) const {
  const auto found = capacity_.find(service);
  const Room whole = found == capacity_.end() ? Room() : found->second;
  return CriticalPath(spec, [&](const StepSpec& step) {
    return ExpectedTime(spec, step) * (Uses(Mechanism::kWideInWaves) ? WavesOf(step, whole) : 1);
  });
}

}  // namespace turmericshift::pool
