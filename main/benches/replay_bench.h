#pragma once

namespace turmericshift {

// Adds the suite "replay": the policy measures of every trace under tests/traces, each held
// against the first_fit policy. Its figures are the same on every run.
void RegisterReplayBench();

}  // namespace turmericshift
