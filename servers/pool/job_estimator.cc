#include "servers/pool/job_estimator.h"

#include <algorithm>

namespace turmericshift::pool {
namespace {

// A step is not expected to get more than 1 / kFairShareDivisor of the pool's accelerators,
// processors or memory at a time: a wider step runs in waves, and its job is due correspondingly
// later.
constexpr int64_t kFairShareDivisor = 4;

// Number of waves in which `needed` fits into a step's share of `total`.
int64_t Waves(int64_t needed, int64_t total) {
  const int64_t share = std::max<int64_t>(total / kFairShareDivisor, 1);
  return total == 0 ? 1 : (needed + share - 1) / share;
}

// Number of waves in which a pool of capacity `total` runs the step. A gang runs in a single wave.
int64_t WavesOf(const StepSpec& step, const Room& total) {
  if (step.gang) return 1;
  return std::max({int64_t{1},
                   Waves(step.tasks * step.need.processor_millis, total.processor_millis),
                   Waves(step.tasks * step.need.memory_mib, total.memory_mib),
                   Waves(step.tasks * step.need.accelerators, total.accelerators)});
}

}  // namespace

int64_t ReleaseMs(const JobSpec& spec, int occurrence) {
  if (spec.schedule.occurrences == 0) return spec.accepted_ms;
  return spec.schedule.first_due_ms + occurrence * spec.schedule.interval_ms;
}

void JobEstimator::RecordRun(const std::string& queue, Duration estimate, Duration actual) {
  run_times_.Record(queue, estimate, actual);
}

void JobEstimator::ResetJobs() { work_by_queue_.clear(); }

void JobEstimator::RecordJob(const JobSpec& spec) {
  Mean& mean = work_by_queue_[spec.queue];
  mean.sum += WorkInCoreSeconds(spec);
  ++mean.count;
}

Duration JobEstimator::ExpectedTime(const JobSpec& spec, const StepSpec& step) const {
  if (!Enabled(Mechanism::kLearnedTimes)) return step.estimate;
  return run_times_.ExpectedTime(spec.queue, step.estimate);
}

JobTiming JobEstimator::TimingOf(const JobSpec& spec, const QueueTerms& terms,
                                 const StepPlace& place, int64_t wall_ms) const {
  JobTiming timing;
  timing.elapsed = std::chrono::milliseconds(wall_ms - ReleaseMs(spec, place.occurrence));
  timing.remaining = CriticalPathFrom(
      spec, place.step, [&](const StepSpec& step) { return ExpectedTime(spec, step); });
  timing.critical_path = FairShareCriticalPath(spec, terms.service);
  timing.stretch = terms.stretch;
  timing.target_latency = terms.target_latency;
  if (Enabled(Mechanism::kOnTimeProbability)) timing.spread = run_times_.SpreadOf(spec.queue);
  return timing;
}

double JobEstimator::ValueOf(const JobSpec& spec, const QueueTerms& terms) const {
  const double work = WorkInCoreSeconds(spec);
  const auto found = work_by_queue_.find(spec.queue);
  const double mean_work =
      found == work_by_queue_.end() ? work : found->second.sum / found->second.count;
  return ValueOnTime(terms.priority, work, mean_work);
}

double JobEstimator::WorkInCoreSeconds(const JobSpec& spec) const {
  double work = 0;
  for (const StepSpec& step : spec.steps) {
    work += CoreEquivalent(step.need) * step.tasks * Seconds(ExpectedTime(spec, step));
  }
  return work;
}

Duration JobEstimator::FairShareCriticalPath(const JobSpec& spec,
                                             const std::string& service) const {
  const auto found = capacity_.find(service);
  const Room total = found == capacity_.end() ? Room() : found->second;
  return CriticalPath(spec, [&](const StepSpec& step) {
    return ExpectedTime(spec, step) * (Enabled(Mechanism::kWideInWaves) ? WavesOf(step, total) : 1);
  });
}

}  // namespace turmericshift::pool
