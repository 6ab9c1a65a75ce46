// The subcommands of the binary. Each takes the command-line arguments after its name and returns
// an exit code.
#pragma once

#include <string>
#include <vector>

#include "core/error.h"
#include "main/commands/options.h"

namespace turmericshift {

struct Command {
  std::string name;
  std::string summary;
  ExitCode (*run)(const Args& args);
  // True for a process that a supervisor runs and that serves until SIGTERM.
  bool daemon = false;
};

// All commands, in the order of the help text.
const std::vector<Command>& Commands();

// Whether the command called `name` is a daemon.
bool IsDaemon(const std::string& name);

// Runs the command in `commands` that args[0] names. Prints the list of commands if there are
// no arguments (exit code kUsage) or for "--help" and "-h". `prefix` is the part of the command
// line before the command's name, such as "turmericshift" or "turmericshift job". Throws
// Error(kInvalidInput) for an unknown command.
ExitCode Dispatch(const std::string& prefix, const std::vector<Command>& commands,
                  const Args& args);

// Commands that run processes of the system.
ExitCode RunEntry(const Args& args);
ExitCode RunAgent(const Args& args);
// `pool entry` and `pool agent`: processes of a pool on a platform reached through an adapter.
ExitCode RunPool(const Args& args);
ExitCode RunStandIn(const Args& args);
ExitCode RunDev(const Args& args);
ExitCode RunDemo(const Args& args);

// Commands that call an entry's HTTP API.
ExitCode RunJob(const Args& args);
ExitCode RunRequest(const Args& args);
ExitCode RunConfig(const Args& args);
ExitCode RunZone(const Args& args);
ExitCode RunStatus(const Args& args);

ExitCode RunExplain(const Args& args);
ExitCode RunToken(const Args& args);
ExitCode RunVersion(const Args& args);

}  // namespace turmericshift
