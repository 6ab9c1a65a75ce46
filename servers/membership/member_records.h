// Records of the active planner and of the entries. The members topic contains both; the work topic
// and the planner topic contain the planner's record.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace turmericshift::membership {

// Planners' epochs are below this: run numbers and fencing tokens that contain a higher one would
// not be exact in JSON (pool/worker_fence.h).
inline constexpr int64_t kEpochLimit = int64_t{1} << 29;

// An entry's announcement to the other entries.
struct EntryRecord {
  std::string node;
  std::string zone;
  // Address for the entry's sessions, "ip:port".
  std::string address;
  // Number of agents that the entry can plan for; see planning_capacity.h.
  int planning_capacity = 0;

  bool operator==(const EntryRecord&) const = default;
};

// The pool's active planner.
struct PlannerRecord {
  int64_t epoch = 0;
  std::string node;
  // Address for the planner's sessions, "ip:port"; empty once the planner has stepped down.
  std::string address;
  // Former planners that are not known to have stepped down and may still grant leases. Their own
  // lists are empty.
  std::vector<PlannerRecord> former = {};
  // Entries that may reach the planner for those that can't. Only in the planner topic.
  std::vector<EntryRecord> relays = {};

  bool SamePlannerAs(const PlannerRecord& other) const {
    return epoch == other.epoch && node == other.node && address == other.address;
  }
};

std::string EncodePlanner(const PlannerRecord& planner);
std::string EncodeEntry(const EntryRecord& entry);

// Decodes a record. Throws Error(kInvalidInput) for malformed bytes, and for an entry's address
// without a port in range.
PlannerRecord DecodePlanner(const std::string& bytes);
EntryRecord DecodeEntry(const std::string& bytes);

}  // namespace turmericshift::membership
