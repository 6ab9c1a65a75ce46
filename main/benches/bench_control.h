// Benchmark suite `control`: speed and cost of the control plane, that is propagation of documents,
// heartbeats, planner replacement and cold starts.
#pragma once

namespace turmericshift {

void RegisterControlBench();

}  // namespace turmericshift
