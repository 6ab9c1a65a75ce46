// Estimates run times from observed run times, because declared run times are often far off.
// Estimates only guide scheduling; no guarantee depends on them.
#pragma once

#include <map>
#include <string>

#include "servers/planner/zone_view.h"

namespace turmericshift {

class RunTimeEstimator {
 public:
  void Learn(const JobSpec& spec, Duration run_time);
  // The expected duration of a complete run, in seconds.
  double TotalSeconds(const JobSpec& spec) const;
  double RemainingSeconds(const WaitingJob& job) const;
  double RemainingSeconds(const RunningJob& job, Time now) const;

 private:
  struct RunTimeRatio {
    // Moving average of log(actual / declared run time), in which newer runs weigh more.
    double mean_log = 0;
    int runs = 0;
  };
  std::map<std::string, RunTimeRatio> ratios_;
};

}  // namespace turmericshift
