#pragma once

namespace turmericshift {

// Adds the placement policies to their registry.
void RegisterPlacementTypes();

}  // namespace turmericshift
