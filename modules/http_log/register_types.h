#pragma once

namespace turmericshift {

// Registers the HTTP log client.
void RegisterHttpLogTypes();

}  // namespace turmericshift
