#include "servers/jobs/job.h"

#include <array>
#include <nlohmann/json.hpp>
#include <set>

#include "core/error.h"
#include "core/units.h"

namespace turmericshift {
namespace {

constexpr std::array<const char*, 4> kAdjacencyNames = {"any", "same_worker", "same_rack",
                                                        "same_zone"};
constexpr std::array<const char*, 6> kStateNames = {"waiting", "running",   "done",
                                                    "failed",  "cancelled", "impossible"};
constexpr size_t kMaxNameBytes = 128;
constexpr int kMaxProcessors = 4096;
constexpr int kMaxAccelerators = 32;

template <size_t kCount>
size_t IndexOf(const std::array<const char*, kCount>& names, const std::string& name,
               const char* what) {
  for (size_t index = 0; index < names.size(); ++index) {
    if (name == names[index]) return index;
  }
  std::string known;
  for (const char* each : names) known += std::string(known.empty() ? "" : ", ") + each;
  throw Error(ErrorKind::kInvalidInput,
              "'" + name + "' is not a valid " + what + "; expected one of " + known);
}

[[noreturn]] void Refuse(const std::string& message) {
  throw Error(ErrorKind::kInvalidInput, "job: " + message);
}

void RequireRange(const char* field, int64_t value, int64_t low, int64_t high) {
  if (value >= low && value <= high) return;
  Refuse(std::string(field) + " is " + std::to_string(value) + ", expected " + std::to_string(low) +
         " to " + std::to_string(high));
}

void RequireName(const char* field, const std::string& value) {
  if (value.empty() || value.size() > kMaxNameBytes) {
    Refuse(std::string(field) + " must have 1 to " + std::to_string(kMaxNameBytes) + " bytes");
  }
  for (const char letter : value) {
    const bool plain = std::isalnum(static_cast<unsigned char>(letter)) != 0 || letter == '-' ||
                       letter == '_' || letter == '.';
    if (!plain) Refuse(std::string(field) + " may contain only letters, digits, '-', '_' and '.'");
  }
}

void RequireKnownFields(const nlohmann::json& json) {
  static const std::set<std::string> kKnown = {
      "key",          "workspace", "tasks",     "processors",  "memory",
      "accelerators", "gang",      "adjacency", "urgent",      "repeatable",
      "zones",        "payload",   "shape",     "checkpoints", "declared_run_time"};
  for (const auto& [field, value] : json.items()) {
    if (kKnown.count(field) == 0) Refuse("unknown field '" + field + "'");
  }
}

void ValidateSpec(const JobSpec& spec) {
  RequireName("key", spec.key);
  RequireName("workspace", spec.workspace);
  RequireRange("tasks", spec.tasks, 1, kMaxTasksPerJob);
  RequireRange("processors", spec.shape.processors, 0, kMaxProcessors);
  RequireRange("memory", spec.shape.memory_bytes, 0, int64_t{1} << 50);
  RequireRange("accelerators", spec.shape.accelerators, 0, kMaxAccelerators);
  if (spec.declared_run_time <= Duration::zero()) Refuse("declared_run_time must be above 0s");
}

}  // namespace

const char* AdjacencyName(Adjacency adjacency) {
  return kAdjacencyNames.at(static_cast<size_t>(adjacency));
}

Adjacency AdjacencyFromName(const std::string& name) {
  return static_cast<Adjacency>(IndexOf(kAdjacencyNames, name, "adjacency"));
}

const char* JobStateName(JobState state) { return kStateNames.at(static_cast<size_t>(state)); }

JobState JobStateFromName(const std::string& name) {
  return static_cast<JobState>(IndexOf(kStateNames, name, "job state"));
}

void to_json(nlohmann::json& json, const TaskShape& shape) {
  json = {{"processors", shape.processors},
          {"memory", std::to_string(shape.memory_bytes) + "B"},
          {"accelerators", shape.accelerators}};
}

void from_json(const nlohmann::json& json, TaskShape& shape) {
  shape.processors = json.value("processors", 1);
  shape.memory_bytes = ParseBytes(json.value("memory", std::string("1GiB")));
  shape.accelerators = json.value("accelerators", 0);
}

void to_json(nlohmann::json& json, const JobSpec& spec) {
  to_json(json, spec.shape);
  json["key"] = spec.key;
  json["workspace"] = spec.workspace;
  json["tasks"] = spec.tasks;
  json["adjacency"] = AdjacencyName(spec.adjacency);
  json["gang"] = spec.gang;
  json["urgent"] = spec.urgent;
  json["repeatable"] = spec.repeatable;
  json["checkpoints"] = spec.checkpoints;
  json["declared_run_time"] = FormatDuration(spec.declared_run_time);
  json["zones"] = spec.zones;
  json["payload"] = spec.payload;
}

void from_json(const nlohmann::json& json, JobSpec& spec) {
  spec.shape = json.get<TaskShape>();
  spec.key = json.at("key").get<std::string>();
  spec.workspace = json.at("workspace").get<std::string>();
  spec.tasks = json.value("tasks", 1);
  spec.adjacency = AdjacencyFromName(json.value("adjacency", std::string("any")));
  spec.gang = json.value("gang", true);
  spec.urgent = json.value("urgent", false);
  spec.repeatable = json.value("repeatable", true);
  spec.checkpoints = json.value("checkpoints", false);
  spec.declared_run_time = ParseDuration(json.value("declared_run_time", std::string("1h")));
  spec.zones = json.value("zones", std::vector<std::string>());
  spec.payload = json.value("payload", std::string());
}

JobSpec ParseJobSpec(const std::string& text) {
  if (text.size() > kMaxJobFileBytes) Refuse("the job file is too large");
  try {
    const nlohmann::json json = nlohmann::json::parse(text);
    if (!json.is_object()) Refuse("expected a JSON object");
    RequireKnownFields(json);
    const auto spec = json.get<JobSpec>();
    ValidateSpec(spec);
    return spec;
  } catch (const nlohmann::json::exception& error) {
    Refuse(error.what());
  }
}

std::string JobId(const std::string& workspace, const std::string& key) {
  return workspace + "/" + key;
}

}  // namespace turmericshift
