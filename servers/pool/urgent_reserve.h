// Reserves room for urgent jobs that have not been submitted yet.
//
// Load pattern: urgent jobs, which have about a second to spare, arrive in a pool that is full of
// jobs with tens of seconds to spare. Preempting the jobs with more slack takes most of that second
// and discards their work. Those jobs are therefore delayed before they start, as long as the delay
// costs them next to nothing. The size of the reserve follows the observed demand of urgent jobs,
// so a service without such jobs reserves nothing. Each service has workers of its own, and so a
// reserve of its own.
#pragma once

#include <map>
#include <string>

#include "core/clock.h"
#include "servers/learned/learned_part.h"
#include "servers/pool/job_model.h"
#include "servers/pool/job_value.h"

namespace turmericshift::pool {

// Total and free room of the usable workers of a service.
struct PoolRoom {
  Room total;
  Room free;
};

class UrgentReserve : public learned::LearnedPart {
 public:
  // Records that all unfinished urgent jobs of the service, whose workers are `pool`, together need
  // `demand`.
  void RecordDemand(const std::string& service, const PoolRoom& pool, const Room& demand, Time now);

  // Number of the `tasks`, each of size `need`, that may start without using the service's reserve.
  int TasksOutsideReserve(const std::string& service, const PoolRoom& pool, const Room& need,
                          int tasks, Time now) const;

  std::string name() const override { return "urgent_demand"; }
  int version() const override { return 2; }
  Duration max_age() const override { return std::chrono::minutes(2); }
  nlohmann::json Save(size_t max_bytes, Time now) const override;
  void Load(const nlohmann::json& data, Duration age, Time now) override;

 private:
  // The highest observed share of a service's room that urgent jobs needed, as of `at`. It decays
  // with time.
  struct Peak {
    double share = 0;
    Time at{};
  };

  static double ShareAt(const Peak& peak, Time now);
  double PeakOf(const std::string& service, Time now) const;

  std::map<std::string, Peak> peaks_;
};

// Whether starting the job some seconds later costs next to nothing.
bool CanWait(const JobTiming& timing);

}  // namespace turmericshift::pool
