// The benchmark suite `control`: what it costs to keep a fleet in agreement, and how fast it is.
#pragma once

namespace turmericshift {

// Adds the suite to its registry.
void RegisterControlBench();

}  // namespace turmericshift
