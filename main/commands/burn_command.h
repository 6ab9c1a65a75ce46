// `turmericshift report burn`: how fast the service-level budgets are used up, and by what.
#pragma once

#include "main/commands.h"

namespace turmericshift {

// `report burn FILE… --document DOC [--json] [--html OUT] [--on-time-factor 2]`. Returns kFailed
// when some objective burns fast enough that someone must look.
ExitCode RunReport(const Words& words);

}  // namespace turmericshift
