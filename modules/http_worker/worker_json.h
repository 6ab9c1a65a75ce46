// JSON encoding of the worker protocol, shared by the client and the fake worker.
#pragma once

#include <nlohmann/json.hpp>

#include "servers/platform/worker_service.h"

namespace turmericshift {

nlohmann::json TaskIdJson(const TaskId& id);
TaskId TaskIdFromJson(const nlohmann::json& json);
nlohmann::json TaskStartJson(const TaskStart& start);
TaskStart TaskStartFromJson(const nlohmann::json& json);
nlohmann::json TaskReportJson(const TaskReport& report);
// Throws Error(kInvalidInput) for an unknown phase.
TaskReport TaskReportFromJson(const nlohmann::json& json);

}  // namespace turmericshift
