#pragma once

namespace turmericshift {

// Adds the HTTP target client to its registry.
void RegisterHttpTargetTypes();

}  // namespace turmericshift
