// Benchmark suite `gangs`: time from an accepted job to its start, also after the failure of its
// planner.
#pragma once

namespace turmericshift {

void RegisterGangsBench();

}  // namespace turmericshift
