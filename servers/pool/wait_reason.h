// Why a unit that is ready has not been started: for the log, so that operators can tell a full
// pool from a fragmented one and from room that is kept for others.
//
// Load pattern: gangs wait in a pool with enough free accelerators, because the accelerators are on
// the wrong racks, in pieces that are too small, or reserved.
#pragma once

#include <vector>

#include "servers/pool/placer.h"

namespace turmericshift::pool {

enum class WaitReason {
  // Usable workers have too little room in total.
  kPoolFull,
  // There is enough room in total, but in pieces that are too small.
  kFragmented,
  // There is room, but not on one rack, or not on the rack of the data.
  kNoRackWithRoom,
  // There is room, but it is reserved for units that are ahead.
  kReservedForOthers,
  // There is room, but it is kept for urgent jobs that have not been submitted yet.
  kUrgentReserve,
  // There is room on workers that are quarantined, not advised, or too risky for a last attempt.
  kWorkersExcluded,
  // Runs have been stopped to make room, and have not ended yet.
  kPreempting,
  // There is room, but on workers that are too slow for the job to end in time, and faster ones are
  // about to come free.
  kFasterWorkers,
};
const char* WaitReasonName(WaitReason reason);

// Candidate workers of a unit under fewer and fewer restrictions.
struct WaitRooms {
  // Free room without what is reserved for other units.
  std::vector<WorkerRoom> unreserved;
  // All free room of the workers that may be used.
  std::vector<WorkerRoom> usable;
  // All free room, on excluded workers as well.
  std::vector<WorkerRoom> all;
};

// The first restriction without which the request could start.
WaitReason ClassifyWait(const PlacementRequest& request, const WaitRooms& rooms);

// Largest number of free accelerators on one worker.
int64_t LargestFreeAccelerators(const std::vector<WorkerRoom>& workers);

}  // namespace turmericshift::pool
