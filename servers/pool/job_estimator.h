// Estimates how long jobs take, when they are due, and the value of finishing them on time, from
// the observed runs of their queues and the pool's capacity.
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
  explicit JobEstimator(const DisabledMechanisms& disabled_mechanisms)
      : disabled_mechanisms_(disabled_mechanisms) {}

  // Records the run time of a task that ran undisturbed: the caller's `estimate` and the `actual`
  // time.
  void RecordRun(const std::string& queue, Duration estimate, Duration actual);
  // What was recorded of run times, to be saved and loaded.
  learned::LearnedPart& run_times() { return run_times_; }
  // Sets the total capacity of each service's workers, with no tasks running.
  void SetCapacity(const std::map<std::string, Room>& by_service) { capacity_ = by_service; }
  // ResetJobs, followed by RecordJob for each recent job, sets the mean work of a job by queue.
  void ResetJobs();
  void RecordJob(const JobSpec& spec);

  // Expected run time of a task of the step.
  Duration ExpectedTime(const JobSpec& spec, const StepSpec& step) const;
  // Timing of a job from step `place` on. `terms`: the queue's current terms; `wall_ms`:
  // milliseconds since 1970.
  JobTiming TimingOf(const JobSpec& spec, const QueueTerms& terms, const StepPlace& place,
                     int64_t wall_ms) const;
  // Value of finishing the job on time, expressed as the core-seconds of other jobs' work that may
  // be given up for it.
  double ValueOf(const JobSpec& spec, const QueueTerms& terms) const;

 private:
  struct Mean {
    double sum = 0;
    int count = 0;
  };

  bool Enabled(Mechanism mechanism) const { return disabled_mechanisms_.count(mechanism) == 0; }
  // Total work of the job's steps in core-seconds.
  double WorkInCoreSeconds(const JobSpec& spec) const;
  // Expected critical path on the pool's workers, where no step has more than its fair share of
  // the pool at a time.
  Duration FairShareCriticalPath(const JobSpec& spec, const std::string& service) const;

  const DisabledMechanisms disabled_mechanisms_;
  RunTimes run_times_;
  std::map<std::string, Room> capacity_;
  // Work of recent jobs by queue, in core-seconds.
  std::map<std::string, Mean> work_by_queue_;
};

// Milliseconds since 1970 when the job was submitted or, for a scheduled job, when its occurrence
// was due to begin.
int64_t ReleaseMs(const JobSpec& spec, int occurrence);

}  // namespace turmericshift::pool
