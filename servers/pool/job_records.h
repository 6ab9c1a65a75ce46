// The records that jobs live in, as JSON: what a job is (written once) and how far it has come
// (written anew with each change).
//
// Keys of the work topic:
//   j/ID      JobSpec
//   p/ID      JobProgress
//   planner   PlannerRecord
//   beat      sign of life of the planner
#pragma once

#include <string>

#include "servers/pool/job_progress.h"

namespace turmericshift::pool {

inline constexpr const char* kSpecPrefix = "j/";
inline constexpr const char* kProgressPrefix = "p/";
inline constexpr const char* kPlannerKey = "planner";
inline constexpr const char* kHeartbeatKey = "beat";

// Who plans the pool.
struct PlannerRecord {
  int64_t epoch = 0;
  std::string node;
  // Where its sessions are opened, "ip:port"; empty when it has given the duty up.
  std::string address;
};

// An entry, as it tells the others of itself.
struct EntryRecord {
  std::string node;
  std::string zone;
  // Where its sessions are opened, "ip:port".
  std::string address;
  // Agents that it can plan for; see planning_capacity.h.
  int planning_capacity = 0;

  bool operator==(const EntryRecord&) const = default;
};

std::string EncodeSpec(const JobSpec& spec);
std::string EncodeProgress(const JobProgress& progress);
std::string EncodePlanner(const PlannerRecord& planner);
std::string EncodeEntry(const EntryRecord& entry);

// Throw Error(kInvalidInput) for bytes that are no such record.
JobSpec DecodeSpec(const std::string& id, const std::string& bytes);
JobProgress DecodeProgress(const std::string& bytes);
PlannerRecord DecodePlanner(const std::string& bytes);
EntryRecord DecodeEntry(const std::string& bytes);

}  // namespace turmericshift::pool
