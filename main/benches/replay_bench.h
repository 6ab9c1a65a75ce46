#pragma once

namespace turmericshift {

// Registers the benchmark suite `replay`: the policy measures of every trace under tests/traces,
// compared with the first_fit policy. The figures are the same on every run.
void RegisterReplayBench();

}  // namespace turmericshift
