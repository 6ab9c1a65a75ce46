// Value of finishing a job by a given time, and the probability of finishing it by that time.
//
// Load pattern: the pool is overloaded, so some jobs finish past their due time. The planner weighs
// what each start, delay and preemption gains or costs. Run times are known only as distributions,
// so finishing on time is a probability.
#pragma once

#include "core/clock.h"
#include "servers/pool/job_model.h"

namespace turmericshift::pool {

// Inputs that determine whether a job finishes on time.
struct JobTiming {
  // Time since the job was submitted, or since it was due to begin.
  Duration elapsed{};
  // Expected time for the remaining steps.
  Duration remaining{};
  // Expected time for the whole job on a pool with room for it.
  Duration critical_path{};
  // The job is due `stretch` times the critical path plus `target_latency` after its begin.
  double stretch = 1;
  Duration target_latency{};
  // Standard deviation of the logarithm of the ratio of actual to expected run times.
  double spread = 0;
};

// A job that takes this many times its due time has no value left for its caller.
inline constexpr int kWorthlessFactor = 3;

// Probability that the job finishes within `factor` times its due time if its remaining steps begin
// after `wait`.
double CompletionProbability(const JobTiming& timing, double factor, Duration wait);

// Expected share of the job's value if its remaining steps begin after `wait`; 1: it certainly
// finishes on time.
double ExpectedValueShare(const JobTiming& timing, Duration wait);

// Converts room to processor cores; an accelerator counts as several cores.
double CoreEquivalent(const Room& room);

// Value of a job that finishes on time, expressed as the core-seconds of other jobs' work that may
// be given up for it. `work`: the job's work in core-seconds; `mean_work`: the mean work of its
// queue's jobs.
double ValueOnTime(int priority, double work, double mean_work);

}  // namespace turmericshift::pool
