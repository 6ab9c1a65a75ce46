// What deciding for a pool costs the VM that plans it: rounds of planning and agents' reports, at
// several sizes of the pool.
#pragma once

namespace turmericshift {

void RegisterPoolRoundsBench();

}  // namespace turmericshift
