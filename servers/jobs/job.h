// Job specification, as submitted by callers, and job states.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "core/clock.h"

namespace turmericshift {

enum class Adjacency { kAny, kSameWorker, kSameRack, kSameZone };
const char* AdjacencyName(Adjacency adjacency);
// Throws Error(kInvalidInput) for an unknown name.
Adjacency AdjacencyFromName(const std::string& name);

enum class JobState { kWaiting, kRunning, kDone, kFailed, kCancelled, kImpossible };
const char* JobStateName(JobState state);
JobState JobStateFromName(const std::string& name);

// Resources that one task needs. Also used for a worker's total and free resources.
struct TaskShape {
  int processors = 0;
  int64_t memory_bytes = 0;
  int accelerators = 0;

  bool operator==(const TaskShape&) const = default;
};

struct JobSpec {
  // Chosen by the caller, unique in the workspace. Submitting a key again returns the existing job.
  std::string key;
  std::string workspace;
  int tasks = 1;
  TaskShape shape;
  Adjacency adjacency = Adjacency::kAny;
  // Gang scheduling: either all tasks run together or none runs.
  bool gang = true;
  bool urgent = false;
  // Whether the job may run again after a run whose outcome was lost.
  bool repeatable = true;
  // Whether the job's tasks can save checkpoints and continue from them.
  bool checkpoints = false;
  // The caller's estimate, which is often far off.
  Duration declared_run_time = std::chrono::hours(1);
  // Names of the availability zones that may run the job; empty for any zone.
  std::vector<std::string> zones;
  std::string payload;
};

inline constexpr int kMaxTasksPerJob = 1024;
inline constexpr size_t kMaxJobFileBytes = size_t{64} * 1024;

void to_json(nlohmann::json& json, const TaskShape& shape);    // NOLINT: the library's name
void from_json(const nlohmann::json& json, TaskShape& shape);  // NOLINT: the library's name
void to_json(nlohmann::json& json, const JobSpec& spec);       // NOLINT: the library's name
void from_json(const nlohmann::json& json, JobSpec& spec);     // NOLINT: the library's name

// Parses a job file (JSON). Throws Error(kInvalidInput) with the invalid field and the reason.
JobSpec ParseJobSpec(const std::string& text);

// The job's id, which is unique within the environment: workspace and key.
std::string JobId(const std::string& workspace, const std::string& key);

}  // namespace turmericshift
