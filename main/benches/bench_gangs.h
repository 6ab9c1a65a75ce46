// The benchmark suite `gangs`: how soon an accepted job runs, and after the death of its planner.
#pragma once

namespace turmericshift {

// Adds the suite to its registry.
void RegisterGangsBench();

}  // namespace turmericshift
