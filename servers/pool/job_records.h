// JSON records of jobs in the work topic: a job's specification (written once) and its progress
// (rewritten with each change).
//
// Keys of the work topic:
//   j/ID      JobSpec
//   p/ID      JobProgress; without its tasks if the job is stored in parts
//   t/ID/N    the tasks of part N of a JobProgress; see progress_parts.h
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
inline constexpr const char* kPartPrefix = "t/";
inline constexpr const char* kPlannerKey = "planner";
inline constexpr const char* kHeartbeatKey = "beat";

// Keys have at most 255 bytes, of which a prefix and the number of a part take some.
inline constexpr size_t kMaxJobIdBytes = 200;

// Key of a part of the job's progress.
std::string PartKey(const std::string& id, int64_t part);

struct PartName {
  std::string id;
  int64_t part = 0;
};

// Splits a key that PartKey has returned. Throws Error(kInvalidInput) for any other text.
PartName ParsePartKey(const std::string& key);

std::string EncodeSpec(const JobSpec& spec);
std::string EncodeProgress(const JobProgress& progress);
// Size of a text, such as a checkpoint, within a record.
size_t EncodedBytes(const std::string& text);

// Decodes a record. Throws Error(kInvalidInput) for malformed bytes.
JobSpec DecodeSpec(const std::string& id, const std::string& bytes);
JobProgress DecodeProgress(const std::string& bytes);

}  // namespace turmericshift::pool
