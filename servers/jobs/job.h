// What a job asks for, and what became of it.
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

// What one task needs; also what a worker has or has left.
struct TaskShape {
  int processors = 0;
  int64_t memory_bytes = 0;
  int accelerators = 0;

  bool operator==(const TaskShape&) const = default;
};

struct JobSpec {
  // Chosen by the caller; submitting a key again gives the first job back.
  std::string key;
  std::string workspace;
  int tasks = 1;
  TaskShape shape;
  Adjacency adjacency = Adjacency::kAny;
  // All tasks run together or none does.
  bool gang = true;
  bool urgent = false;
  // Whether a second run after a lost first one is harmless.
  bool repeatable = true;
  bool checkpoints = false;
  // The caller's guess; often far off.
  Duration declared_run_time = std::chrono::hours(1);
  // Empty: any availability zone.
  std::vector<std::string> zones;
  std::string payload;
};

inline constexpr int kMaxTasksPerJob = 1024;
inline constexpr size_t kMaxJobFileBytes = size_t{64} * 1024;

void to_json(nlohmann::json& json, const TaskShape& shape);    // NOLINT: the library's name
void from_json(const nlohmann::json& json, TaskShape& shape);  // NOLINT: the library's name
void to_json(nlohmann::json& json, const JobSpec& spec);       // NOLINT: the library's name
void from_json(const nlohmann::json& json, JobSpec& spec);     // NOLINT: the library's name

// Reads a job file (JSON). Throws Error(kInvalidInput) that says which field is wrong and how.
JobSpec ParseJobSpec(const std::string& text);

// A job's unique id within the environment: workspace and key.
std::string JobId(const std::string& workspace, const std::string& key);

}  // namespace turmericshift
