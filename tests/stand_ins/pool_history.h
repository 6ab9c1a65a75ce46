// Random histories of a pool: jobs of all shapes while planners, agents, workers, connections and
// the store fail in any order. Each history is drawn from a seed.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "tests/stand_ins/pool_faults.h"

namespace turmericshift::pool {

struct PoolHistoryResult {
  // See PoolSimulation::violations().
  std::vector<std::string> violations;
  // Jobs that had not ended some time after the last fault, as "ID is STATE".
  std::vector<std::string> unfinished_jobs;
  // How often each kind of fault has happened.
  std::map<FaultKind, int> faults;
  // See PoolSimulation::calls_of_former_lives().
  int calls_of_former_lives = 0;
  // See PoolSimulation::starts_for_former_lives().
  int starts_for_former_lives = 0;
};

// Runs the history of `seed` with faults of the given kinds beside those of every history.
PoolHistoryResult RunPoolHistory(unsigned seed, const std::set<FaultKind>& kinds);

}  // namespace turmericshift::pool
