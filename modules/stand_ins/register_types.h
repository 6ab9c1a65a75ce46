#pragma once

namespace turmericshift {

// Registers the in-process stand-ins, for dev mode and trials.
void RegisterStandInTypes();

}  // namespace turmericshift
