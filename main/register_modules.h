#pragma once

namespace turmericshift {

// Calls the register_types function of every module. The list is written by hand, since a linker
// drops an object file that nobody names; a test checks that every plug-in is there.
void RegisterModules();

}  // namespace turmericshift
