#pragma once

namespace turmericshift {

// Registers the routing policies.
void RegisterRoutingTypes();

}  // namespace turmericshift
