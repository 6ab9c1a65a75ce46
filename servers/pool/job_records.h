// JSON records of jobs in the work topic: a job's specification (written once) and its progress
// (rewritten with each change).
//
// Keys of the work topic:
//   j/ID      JobSpec
//   p/ID      JobProgress
//   planner   membership::PlannerRecord
//   beat      heartbeat of the planner
//   l/NAME    learned state of a planner; see servers/learned/learned_state.h
#pragma once

#include <string>
#include <vector>

#include "servers/membership/member_records.h"
#include "servers/pool/job_progress.h"

namespace turmericshift::pool {

using membership::DecodeEntry;
using membership::DecodePlanner;
using membership::EncodeEntry;
using membership::EncodePlanner;
using membership::EntryRecord;
using membership::PlannerRecord;

inline constexpr const char* kSpecPrefix = "j/";
inline constexpr const char* kProgressPrefix = "p/";
inline constexpr const char* kPlannerKey = "planner";
inline constexpr const char* kHeartbeatKey = "beat";

std::string EncodeSpec(const JobSpec& spec);
std::string EncodeProgress(const JobProgress& progress);

// Decodes a record. Throws Error(kInvalidInput) for malformed bytes.
JobSpec DecodeSpec(const std::string& id, const std::string& bytes);
JobProgress DecodeProgress(const std::string& bytes);

}  // namespace turmericshift::pool
