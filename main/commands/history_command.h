// `turmericshift check-history`: checks the daemons' logs for violations of the system's
// guarantees.
#pragma once

#include "main/commands.h"

namespace turmericshift {

// `check-history FILE… [--json] [--zone-out 3s] [--partial-gang 10s] [--reclaim 30s] [--job-silence
// 24h]`. Returns kFailed if a guarantee is violated. Throws Error(kInvalidInput) for invalid files
// and options.
ExitCode RunCheckHistory(const Args& args);

}  // namespace turmericshift
