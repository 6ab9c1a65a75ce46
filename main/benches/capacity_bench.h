#pragma once

namespace turmericshift {

// Adds the suite "capacity": sizes and costs for each job, task, worker and workspace, from which
// docs/CAPACITY.md works out the long-run size.
void RegisterCapacityBench();

}  // namespace turmericshift
