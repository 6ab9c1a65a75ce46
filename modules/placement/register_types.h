#pragma once

namespace turmericshift {

// Registers the placement policies and their benchmark suites.
void RegisterPlacementTypes();

}  // namespace turmericshift
