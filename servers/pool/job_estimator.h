// Says of jobs how long they should take, when they are due, and what it is worth to have them in
// time, from what has been seen of their queues and of the pool.
#pragma once

#include <map>
#include <string>

#include "core/clock.h"
#include "servers/pool/job_model.h"
#include "servers/pool/job_progress.h"
#include "servers/pool/job_value.h"
#include "servers/pool/mechanism.h"
#include "servers/pool/run_times.h"

namespace turmericshift::pool {

class JobEstimator {
 public:
  explicit JobEstimator(const DisabledMechanisms& off) : off_(off) {}

  // A task of the queue that was estimated to take `estimate` took `actual`, undisturbed.
  void RecordRun(const std::string& queue, Duration estimate, Duration actual);
  // What the workers of a service hold when nothing runs there, all of them together.
  void SetCapacity(const std::map<std::string, Room>& by_service) { capacity_ = by_service; }
  // Jobs that queues have had of late, as one list: what is usual is their mean.
  void ResetJobs();
  void RecordJob(const JobSpec& spec);

  // What a task of the step should take.
  Duration ExpectedTime(const JobSpec& spec, const StepSpec& step) const;
  // Of a job whose step `place` comes next. `terms`: what its queue lays down now; `wall_ms`:
  // milliseconds since 1970.
  JobTiming TimingOf(const JobSpec& spec, const QueueTerms& terms, const StepPlace& place,
                     int64_t wall_ms) const;
  // What it is worth to have the job in time, in core-seconds of others' work.
  double ValueOf(const JobSpec& spec, const QueueTerms& terms) const;

 private:
  struct Mean {
    double sum = 0;
    int count = 0;
  };

  bool Uses(Mechanism mechanism) const { return off_.count(mechanism) == 0; }
  // Core-seconds of all its steps.
  double WorkOf(const JobSpec& spec) const;
  // What the longest chain of steps should take a pool that works on the job as its caller may
  // expect: no step has more than a share of the pool at once.
  Duration FairChain(const JobSpec& spec, const std::string& service) const;

  const DisabledMechanisms off_;
  RunTimes run_times_;
  std::map<std::string, Room> capacity_;
  // By queue, in core-seconds.
  std::map<std::string, Mean> usual_work_;
};

// Milliseconds since 1970 when the job was handed in or its occurrence was due to begin.
int64_t ReleaseMs(const JobSpec& spec, int occurrence);

}  // namespace turmericshift::pool
