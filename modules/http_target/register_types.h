#pragma once

namespace turmericshift {

// Registers the HTTP target client.
void RegisterHttpTargetTypes();

}  // namespace turmericshift
