#pragma once

namespace turmericshift {

// Adds the routing policies to their registry.
void RegisterRoutingTypes();

}  // namespace turmericshift
