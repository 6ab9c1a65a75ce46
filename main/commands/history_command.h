// `turmericshift check-history`: holds the daemons' own logs against the promises.
#pragma once

#include "main/commands.h"

namespace turmericshift {

// `check-history FILE… [--json] [--zone-out 3s] [--partial-gang 10s] [--reclaim 30s]
// [--job-silence 24h]`. Returns kFailed when a promise is contradicted; bad files and options
// throw Error(kInvalidInput).
ExitCode RunCheckHistory(const Words& words);

}  // namespace turmericshift
