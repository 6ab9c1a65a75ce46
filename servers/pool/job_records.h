// JSON records of jobs in the work topic: a job's specification (written once) and its progress
// (rewritten with each change).
//
// Keys of the work topic:
//   j/ID      JobSpec
//   p/ID      JobProgress
//   planner   PlannerRecord
//   beat      heartbeat of the planner
//   l/NAME    learned state of a planner; see servers/learned/learned_state.h
#pragma once

#include <string>
#include <vector>

#include "servers/pool/job_progress.h"

namespace turmericshift::pool {

inline constexpr const char* kSpecPrefix = "j/";
inline constexpr const char* kProgressPrefix = "p/";
inline constexpr const char* kPlannerKey = "planner";
inline constexpr const char* kHeartbeatKey = "beat";

// The pool's active planner.
struct PlannerRecord {
  int64_t epoch = 0;
  std::string node;
  // Address for the planner's sessions, "ip:port"; empty once the planner has stepped down.
  std::string address;
  // Former planners that are not known to have stepped down and may still grant leases. Their own
  // lists are empty.
  std::vector<PlannerRecord> former = {};
};

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

std::string EncodeSpec(const JobSpec& spec);
std::string EncodeProgress(const JobProgress& progress);
std::string EncodePlanner(const PlannerRecord& planner);
std::string EncodeEntry(const EntryRecord& entry);

// Decodes a record. Throws Error(kInvalidInput) for malformed bytes.
JobSpec DecodeSpec(const std::string& id, const std::string& bytes);
JobProgress DecodeProgress(const std::string& bytes);
PlannerRecord DecodePlanner(const std::string& bytes);
EntryRecord DecodeEntry(const std::string& bytes);

}  // namespace turmericshift::pool
