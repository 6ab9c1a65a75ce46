// Tells workers that fail everything from jobs that fail everywhere. A worker that fails all it
// gets looks idle and would attract work: after a failure it is held out for a while, longer each
// time, and the job is tried elsewhere. What happens there decides: a job that fails on several
// workers is at fault and clears them; a job that gets done leaves the blame where it was. A worker
// comes back by itself, and what it gets then is its probe.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"

namespace turmericshift {

enum class FailureVerdict { kTryElsewhere, kJobAtFault };

struct WorkerHealthOptions {
  // The first hold; each further failure in a row doubles it, up to the longest.
  Duration shortest_hold = std::chrono::seconds(30);
  Duration longest_hold = std::chrono::hours(1);
  // A job that failed on this many workers, or this often in all, is at fault.
  size_t workers_to_blame_job = 3;
  int failures_to_blame_job = 5;
  // At most this share of the zone's workers, but always one, is held out: when more fail, the
  // cause is not in the workers.
  double most_held_share = 0.1;
};

class WorkerHealth {
 public:
  explicit WorkerHealth(const WorkerHealthOptions& options = {});

  // `workers` are those on which its tasks failed; the zone has `zone_workers`.
  FailureVerdict AttemptFailed(const std::string& job, const std::vector<std::string>& workers,
                               size_t zone_workers, Time now);
  void AttemptDone(const std::string& job, const std::vector<std::string>& workers);
  void ForgetJob(const std::string& job);
  void ForgetWorker(const std::string& worker);

  bool HeldOut(const std::string& worker, Time now) const;
  size_t HeldOutCount(Time now) const;

 private:
  struct Worker {
    int failures_in_row = 0;
    Time held_until{};
  };
  struct Job {
    int failures = 0;
    std::set<std::string> failed_on;
  };
  void Hold(const std::string& worker, size_t zone_workers, Time now);

  const WorkerHealthOptions options_;
  std::map<std::string, Worker> workers_;
  std::map<std::string, Job> jobs_;
};

}  // namespace turmericshift
