#pragma once

namespace turmericshift {

// Adds the stand-ins that a process can hold inside itself, for dev mode and trials.
void RegisterStandInTypes();

}  // namespace turmericshift
