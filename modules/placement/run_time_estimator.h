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
  double Total(const JobSpec& spec) const;
  double Remaining(const WaitingJob& job) const;
  double Remaining(const RunningJob& job, Time now) const;

 private:
  struct Ratio {
    // Mean of the logarithm of actual by declared, newer runs weighing more.
    double mean_log = 0;
    int seen = 0;
  };
  std::map<std::string, Ratio> ratios_;
};

}  // namespace turmericshift
