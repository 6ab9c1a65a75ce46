// The newest planner that a process has been told of by other processes.
//
// Load pattern: the store turns some entries away just when the planner is replaced. They can't
// read of the new planner, and callers would wait at the old one until their time is over.
#pragma once

#include <mutex>
#include <optional>

#include "core/clock.h"
#include "servers/membership/member_records.h"

namespace turmericshift::membership {

// The epoch decides which of two planners is newer: the store accepts each epoch once. Thread-safe.
class PlannerHints {
 public:
  // Takes note of a planner that another process has named. Returns whether it is newer than all
  // that were named before.
  bool Learn(const PlannerRecord& named, Time now);
  // Returns the newer of `recorded`, which was read from the store, and the named planner.
  // `read_at`: when the read was sent that `recorded` reflects. A planner's claim is in the store
  // before anyone can name it, so a named planner that a later read does not show is dropped.
  PlannerRecord Newest(const PlannerRecord& recorded, std::optional<Time> read_at);

 private:
  std::mutex mutex_;
  PlannerRecord named_;
  Time named_at_{};
};

}  // namespace turmericshift::membership
