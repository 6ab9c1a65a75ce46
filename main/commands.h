// The subcommands of the binary. Each takes the words after its name and returns an exit code.
#pragma once

#include <string>
#include <vector>

#include "core/error.h"

namespace turmericshift {

using Words = std::vector<std::string>;

struct Command {
  std::string name;
  std::string summary;
  ExitCode (*run)(const Words& words);
};

// All commands, in the order of the help text.
const std::vector<Command>& Commands();

ExitCode RunDemo(const Words& words);
ExitCode RunConfig(const Words& words);
ExitCode RunVersion(const Words& words);

}  // namespace turmericshift
