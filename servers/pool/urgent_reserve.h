// Reserves room for urgent jobs that have not been submitted yet.
//
// Load pattern: urgent jobs, which have about a second to spare, arrive in a pool that is full of
// jobs with tens of seconds to spare. Preempting the jobs with more slack takes most of that second
// and discards their work. Those jobs are therefore delayed before they start, as long as the delay
// costs them next to nothing. The size of the reserve follows the observed demand of urgent jobs,
// so a pool without such jobs reserves nothing.
#pragma once

#include <optional>

#include "core/clock.h"
#include "servers/learned/learned_part.h"
#include "servers/pool/job_model.h"
#include "servers/pool/job_value.h"

namespace turmericshift::pool {

// Total and free room of the usable workers.
struct PoolRoom {
  Room total;
  Room free;
};

class UrgentReserve : public learned::LearnedPart {
 public:
  // Records that all unfinished urgent jobs together need `demand`.
  void RecordDemand(const PoolRoom& pool, const Room& demand, Time now);

  // Number of the `tasks`, each of size `need`, that may start without using the reserve.
  int TasksOutsideReserve(const PoolRoom& pool, const Room& need, int tasks, Time now) const;

  std::string name() const override { return "urgent_demand"; }
  int version() const override { return 1; }
  Duration max_age() const override { return std::chrono::minutes(2); }
  nlohmann::json Save(size_t max_bytes, Time now) const override;
  void Load(const nlohmann::json& data, Duration age, Time now) override;

 private:
  // The highest observed share of the pool that urgent jobs needed, decaying with time.
  double Peak(Time now) const;

  double peak_ = 0;
  std::optional<Time> peak_at_;
};

// Whether starting the job some seconds later costs next to nothing.
bool CanWait(const JobTiming& timing);

}  // namespace turmericshift::pool
