// Benchmark suite `pool_rounds`: time that the planner of a pool spends on planning rounds and on
// agents' reports, at several pool sizes.
#pragma once

namespace turmericshift {

void RegisterPoolRoundsBench();

}  // namespace turmericshift
