// `turmericshift report burn`: burn rates of the service-level error budgets, and their causes.
#pragma once

#include "main/commands.h"

namespace turmericshift {

// `report burn FILE… --document DOC [--json] [--html OUT] [--on-time-factor 2]`. Returns kFailed if
// the burn rate of an objective is high enough for an alert.
ExitCode RunReport(const Args& args);

}  // namespace turmericshift
