#include "modules/http_worker/worker_json.h"

#include "core/error.h"

namespace turmericshift {
namespace {

constexpr int kPhaseCount = static_cast<int>(TaskPhase::kStopped) + 1;

TaskPhase PhaseFromName(const std::string& name) {
  for (int phase = 0; phase < kPhaseCount; ++phase) {
    if (name == TaskPhaseName(static_cast<TaskPhase>(phase))) return static_cast<TaskPhase>(phase);
  }
  throw Error(ErrorKind::kInvalidInput, "unknown task phase '" + name + "'");
}

// Writes the fields that TaskStart and TaskReport share.
template <typename Task>
void WriteCommon(const Task& task, nlohmann::json* json) {
  (*json)["shape"] = task.shape;
  (*json)["accelerators"] = task.accelerators;
  (*json)["checkpoint"] = task.checkpoint;
  (*json)["epoch"] = task.epoch;
  (*json)["workspace"] = task.workspace;
  (*json)["guaranteed"] = task.guaranteed;
  (*json)["checkpoints"] = task.checkpoints;
}

template <typename Task>
void ReadCommon(const nlohmann::json& json, Task* task) {
  task->id = TaskIdFromJson(json);
  json.at("shape").get_to(task->shape);
  json.at("accelerators").get_to(task->accelerators);
  json.at("checkpoint").get_to(task->checkpoint);
  json.at("epoch").get_to(task->epoch);
  json.at("workspace").get_to(task->workspace);
  json.at("guaranteed").get_to(task->guaranteed);
  json.at("checkpoints").get_to(task->checkpoints);
}

}  // namespace

nlohmann::json TaskIdJson(const TaskId& id) {
  return {{"job", id.job}, {"attempt", id.attempt}, {"task", id.task}};
}

TaskId TaskIdFromJson(const nlohmann::json& json) {
  return {json.at("job").get<std::string>(), json.at("attempt").get<int64_t>(),
          json.at("task").get<int>()};
}

nlohmann::json TaskStartJson(const TaskStart& start) {
  nlohmann::json json = TaskIdJson(start.id);
  WriteCommon(start, &json);
  json["held"] = start.held;
  json["lease_ns"] = start.lease.count();
  json["payload"] = start.payload;
  return json;
}

TaskStart TaskStartFromJson(const nlohmann::json& json) {
  TaskStart start;
  ReadCommon(json, &start);
  json.at("held").get_to(start.held);
  start.lease = Duration(json.at("lease_ns").get<int64_t>());
  json.at("payload").get_to(start.payload);
  return start;
}

nlohmann::json TaskReportJson(const TaskReport& report) {
  nlohmann::json json = TaskIdJson(report.id);
  WriteCommon(report, &json);
  json["phase"] = TaskPhaseName(report.phase);
  json["progress"] = report.progress;
  json["lease_left_ns"] = report.lease_left.count();
  return json;
}

TaskReport TaskReportFromJson(const nlohmann::json& json) {
  TaskReport report;
  ReadCommon(json, &report);
  report.phase = PhaseFromName(json.at("phase").get<std::string>());
  json.at("progress").get_to(report.progress);
  report.lease_left = Duration(json.at("lease_left_ns").get<int64_t>());
  return report;
}

}  // namespace turmericshift
