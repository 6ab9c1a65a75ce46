// Run times learned from what was seen, because declared ones are often far off. An estimate only
// orders work; no promise rests on it.
#pragma once

#include <map>
#include <string>

#include "servers/planner/zone_view.h"

namespace turmericshift {

class RunTimeEstimator {
 public:
  void Learn(const JobSpec& spec, Duration run_time);
  // Seconds that a whole run takes.
  double TotalSeconds(const JobSpec& spec) const;
  double RemainingSeconds(const WaitingJob& job) const;
  double RemainingSeconds(const RunningJob& job, Time now) const;

 private:
  struct RunTimeRatio {
    // Mean of the logarithm of actual by declared, newer runs weighing more.
    double mean_log = 0;
    int runs = 0;
  };
  std::map<std::string, RunTimeRatio> ratios_;
};

}  // namespace turmericshift
