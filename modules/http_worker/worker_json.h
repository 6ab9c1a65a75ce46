// The JSON of the worker protocol, for the client and the stand-in.
#pragma once

#include <nlohmann/json.hpp>

#include "servers/platform/worker_service.h"

namespace turmericshift {

nlohmann::json TaskIdJson(const TaskId& id);
TaskId TaskIdFromJson(const nlohmann::json& json);
nlohmann::json TaskStartJson(const TaskStart& start);
TaskStart TaskStartFromJson(const nlohmann::json& json);
nlohmann::json TaskReportJson(const TaskReport& report);
// Throws Error(kInvalidInput) for a phase that is unknown.
TaskReport TaskReportFromJson(const nlohmann::json& json);

}  // namespace turmericshift
