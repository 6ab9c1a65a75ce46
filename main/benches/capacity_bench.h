#pragma once

namespace turmericshift {

// Registers the benchmark suite `capacity`: bytes and time per job, task, worker and workspace,
// from which docs/CAPACITY.md calculates the cost of the size that users require in the long run.
void RegisterCapacityBench();

}  // namespace turmericshift
