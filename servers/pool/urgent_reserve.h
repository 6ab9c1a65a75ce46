// Keeps room free for urgent jobs that are yet to come.
//
// Answers the load pattern of urgent jobs that have about a second to spare in a pool that others,
// with tens of seconds to spare, have filled: stopping those takes most of that second, and throws
// their work away. The others wait instead, as long as waiting costs them nothing to speak of. How
// much is kept follows the demand of urgent jobs that has been seen, so that a pool without any
// keeps nothing.
#pragma once

#include <optional>

#include "core/clock.h"
#include "servers/pool/job_model.h"
#include "servers/pool/job_value.h"

namespace turmericshift::pool {

// Room of the workers that may be used.
struct PoolRoom {
  Room total;
  Room free;
};

class UrgentReserve {
 public:
  // All urgent jobs that have not ended need `demand` together.
  void RecordDemand(const PoolRoom& pool, const Room& demand, Time now);

  // How many of `tasks` of `need` may begin with what is kept left free.
  int TasksOutsideReserve(const PoolRoom& pool, const Room& need, int tasks, Time now) const;

 private:
  // The share of the pool that was wanted at the highest, less the longer that is ago.
  double Peak(Time now) const;

  double peak_ = 0;
  std::optional<Time> peak_at_;
};

// Whether a job can as well begin some seconds later.
bool CanWait(const JobTiming& timing);

}  // namespace turmericshift::pool
