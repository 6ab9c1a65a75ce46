#include "servers/pool/wait_reason.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace turmericshift::pool {
namespace {

struct ReasonName {
  WaitReason reason;
  const char* name;
};

constexpr std::array<ReasonName, 8> kReasonNames = {{
    {WaitReason::kPoolFull, "pool_full"},
    {WaitReason::kFragmented, "fragmented"},
    {WaitReason::kNoRackWithRoom, "no_rack_with_room"},
    {WaitReason::kReservedForOthers, "reserved_for_others"},
    {WaitReason::kUrgentReserve, "urgent_reserve"},
    {WaitReason::kWorkersExcluded, "workers_excluded"},
    {WaitReason::kPreempting, "preempting"},
    {WaitReason::kFasterWorkers, "faster_workers"},
}};

bool Fits(const PlacementRequest& request, const std::vector<WorkerRoom>& workers) {
  return static_cast<int>(Place(request, workers).size()) >= request.tasks;
}

// Whether the free room of all workers together is enough for all tasks.
bool FitsInTotal(const PlacementRequest& request, const std::vector<WorkerRoom>& workers) {
  Room free;
  for (const WorkerRoom& worker : workers) free += worker.free;
  return FitCount(free, request.step->need, request.tasks) >= request.tasks;
}

}  // namespace

const char* WaitReasonName(WaitReason reason) {
  for (const ReasonName& row : kReasonNames) {
    if (row.reason == reason) return row.name;
  }
  return "";
}

WaitReason ClassifyWait(const PlacementRequest& request, const WaitRooms& rooms) {
  PlacementRequest anywhere = request;
  anywhere.allow_off_rack = true;
  if (Fits(anywhere, rooms.unreserved)) return WaitReason::kNoRackWithRoom;
  if (Fits(request, rooms.usable)) return WaitReason::kReservedForOthers;
  if (Fits(anywhere, rooms.usable)) return WaitReason::kNoRackWithRoom;
  if (Fits(anywhere, rooms.all)) return WaitReason::kWorkersExcluded;
  return FitsInTotal(request, rooms.usable) ? WaitReason::kFragmented : WaitReason::kPoolFull;
}

int64_t LargestFreeAccelerators(const std::vector<WorkerRoom>& workers) {
  int64_t largest = 0;
  for (const WorkerRoom& worker : workers) largest = std::max(largest, worker.free.accelerators);
  return largest;
}

}  // namespace turmericshift::pool
