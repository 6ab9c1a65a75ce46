// Distinguishes workers on which every task fails from jobs that fail on every worker. A worker
// that fails all its tasks looks idle and would attract more work. After a failure the worker is
// therefore quarantined, for longer after each failure in a row, and the job is tried on other
// workers. If the job fails on several workers, the job is at fault and its failures no longer
// count against these workers. If the job completes elsewhere, the quarantine of the first worker
// stays. A quarantine ends by itself; the next job on the worker serves as the probe.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"

namespace turmericshift {

enum class FailureVerdict { kTryElsewhere, kJobAtFault };

struct WorkerHealthOptions {
  // The first quarantine. Each further failure in a row doubles it, up to max_quarantine.
  Duration min_quarantine = std::chrono::seconds(30);
  Duration max_quarantine = std::chrono::hours(1);
  // A job that failed on this many workers, or in this many attempts, is at fault.
  size_t workers_to_blame_job = 3;
  int failures_to_blame_job = 5;
  // The largest share of the zone's workers in quarantine, though one worker is always allowed. If
  // more workers fail, the cause is not in the workers.
  double max_quarantined_share = 0.1;
};

class WorkerHealth {
 public:
  explicit WorkerHealth(const WorkerHealthOptions& options = {});

  // `workers` are the workers on which the job's tasks failed; `zone_workers` is the number of
  // workers in the zone.
  FailureVerdict AttemptFailed(const std::string& job, const std::vector<std::string>& workers,
                               size_t zone_workers, Time now);
  void AttemptDone(const std::string& job, const std::vector<std::string>& workers);
  void ForgetJob(const std::string& job);
  void ForgetWorker(const std::string& worker);

  bool IsQuarantined(const std::string& worker, Time now) const;
  size_t QuarantinedCount(Time now) const;

 private:
  struct Worker {
    int failures_in_row = 0;
    Time quarantined_until{};
  };
  struct Job {
    int failures = 0;
    std::set<std::string> failed_on;
  };
  void Quarantine(const std::string& worker, size_t zone_workers, Time now);

  const WorkerHealthOptions options_;
  std::map<std::string, Worker> workers_;
  std::map<std::string, Job> jobs_;
};

}  // namespace turmericshift
