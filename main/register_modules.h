#pragma once

namespace turmericshift {

// Calls the register_types function of every module and registers the benchmark suites. The list is
// explicit, since the linker drops object files of a static library that nothing references;
// RegisterModulesTest checks that the plug-ins are registered.
void RegisterModules();

}  // namespace turmericshift
