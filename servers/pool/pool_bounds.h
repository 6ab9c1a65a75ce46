// The bounds that a platform and its operators lay down, and the limits that keep them. Everything
// that has to fit into a bound is worked out here, so that another deployment's figures change the
// limits and no code.
#pragma once

#include <string>
#include <vector>

#include "core/clock.h"

namespace turmericshift::pool {

struct JobApiOptions;
struct PlannerOptions;

struct PoolBounds {
  // How long workers let runs go on without word at most.
  Duration longest_lease = std::chrono::seconds(6);
  // Nothing of a cancelled job starts later than this after the cancellation was accepted,
  Duration cancel = std::chrono::seconds(3);
  // nothing in a zone later than this after operators took it out,
  Duration zone_out = std::chrono::seconds(5);
  // and no call with a key later than this after operators took the key away.
  Duration key_withdrawn = std::chrono::seconds(5);
  // An accepted job is known at every entry after this.
  Duration visible = std::chrono::seconds(3);
  // A member of a gang waits so long at its worker for the others.
  Duration gang_wait = std::chrono::seconds(3);
  // A stop takes so long at most.
  Duration stop = std::chrono::milliseconds(400);
  // Urgent jobs within their workspace's guarantee have begun after this.
  Duration reclaim = std::chrono::milliseconds(2900);
  // Going on from a saved state takes so long.
  Duration restore = std::chrono::milliseconds(600);
  // Ended jobs can be asked for at least so long.
  Duration status_kept = std::chrono::seconds(120);
  // Tasks away from their data, and gangs torn over racks, take so many times as long.
  double off_rack_slowdown = 3;
};

// Limits within the bounds. Throw Error(kInvalidInput) when a bound leaves too little to work with:
// an entry that may never start anything would look well and serve nobody.
PlannerOptions PlannerOptionsFor(const PoolBounds& bounds);
// Sets what of the options bounds decide.
void ApplyBounds(const PoolBounds& bounds, JobApiOptions* options);

// Bounds that can be missed on a sound pool, each as a sentence. They are worked towards all the
// same, since a guarantee that comes late is better than none.
std::vector<std::string> UnattainableBounds(const PoolBounds& bounds);

}  // namespace turmericshift::pool
