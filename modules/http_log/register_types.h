#pragma once

namespace turmericshift {

// Adds the HTTP log client to its registry.
void RegisterHttpLogTypes();

}  // namespace turmericshift
