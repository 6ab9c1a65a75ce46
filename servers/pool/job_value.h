// What it is worth to a caller that a job is done by some moment, and how likely that is.
//
// Answers load that the pool cannot carry: then somebody comes late, and who that is should be
// decided by what each start, wait and stop gains or costs. Run times are known only as far as
// their spread tells, so that being in time is a likelihood, not a yes or no.
#pragma once

#include "core/clock.h"
#include "servers/pool/job_model.h"

namespace turmericshift::pool {

// What decides whether a job comes in time.
struct JobTiming {
  // Since the caller handed it in, or since it was due to begin.
  Duration elapsed{};
  // What is left of it should take.
  Duration remaining{};
  // What the whole of it should take a pool with room for it.
  Duration critical_path{};
  // It should be done within `stretch` times the chain and `target` more.
  double stretch = 1;
  Duration target_latency{};
  // Standard deviation of the logarithm of true over expected times.
  double spread = 0;
};

// A job that takes this many times as long as it should is of no more use to its caller.
inline constexpr int kUselessFactor = 3;

// How likely the job is done within `factor` times its due time when its rest begins after `wait`.
double CompletionProbability(const JobTiming& timing, double factor, Duration wait);

// Share of its worth that the job is expected to bring when its rest begins after `wait`; 1: it
// surely comes in time.
double ExpectedValueShare(const JobTiming& timing, Duration wait);

// Room in processor cores; an accelerator weighs as much as several.
double CoreEquivalent(const Room& room);

// Worth of a job in time, in core-seconds of others' work that it makes up for. `work`: its own, in
// core-seconds; `usual_work`: what jobs of its queue have on the average.
double ValueOnTime(int priority, double work, double usual_work);

}  // namespace turmericshift::pool
