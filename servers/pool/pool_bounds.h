// The time bounds set by a platform and its operators, and the limits derived from them. All limits
// are computed here, so that another deployment's bounds change the limits without a change of
// code.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/clock.h"

namespace turmericshift::pool {

struct JobApiOptions;
struct PlannerOptions;

struct PoolBounds {
  // Longest lease that workers grant a run without a renewal.
  Duration longest_lease = std::chrono::seconds(6);
  // No task of a cancelled job starts later than this after the cancellation was accepted.
  Duration cancel = std::chrono::seconds(3);
  // No task starts in a zone later than this after operators took the zone out.
  Duration zone_out = std::chrono::seconds(5);
  // No call with a key is accepted later than this after operators withdrew the key.
  Duration key_withdrawn = std::chrono::seconds(5);
  // An accepted job is visible at every entry after this time.
  Duration visible = std::chrono::seconds(3);
  // Longest time that a gang member waits on its worker for the others.
  Duration gang_wait = std::chrono::seconds(3);
  // Longest time that a stop takes.
  Duration stop = std::chrono::milliseconds(400);
  // Urgent jobs within their workspace's guarantee start within this time.
  Duration reclaim = std::chrono::milliseconds(2900);
  // Time to restore a task from a checkpoint.
  Duration restore = std::chrono::milliseconds(600);
  // Shortest time for which the state of an ended job can be queried.
  Duration status_kept = std::chrono::seconds(120);
  // Slowdown of tasks off their data's rack, and of gangs spread over racks.
  double off_rack_slowdown = 3;
  // Largest record that the store accepts, with its key.
  size_t max_record_bytes = size_t{256} << 10;
};

// Largest value of a record whose key may have any length. Throws Error(kInvalidInput) if records
// are too small for what the planner stores.
size_t MaxValueBytes(const PoolBounds& bounds);
// Returns limits that keep the bounds. Throws Error(kInvalidInput) if a bound leaves too little
// time: an entry that may never start a task would look healthy and serve nobody.
PlannerOptions PlannerOptionsFor(const PoolBounds& bounds);
// Sets the options that depend on the bounds. Throws Error(kInvalidInput) like PlannerOptionsFor.
void ApplyBounds(const PoolBounds& bounds, JobApiOptions* options);

// Describes, one sentence each, the bounds that a healthy pool may miss. The planner still tries to
// keep these bounds, since reclaiming guaranteed room after its bound is better than not reclaiming
// it.
std::vector<std::string> UnattainableBounds(const PoolBounds& bounds);

}  // namespace turmericshift::pool
