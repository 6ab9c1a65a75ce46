#include "main/commands.h"

#include <algorithm>
#include <cstdio>

#include "main/commands/bench_command.h"
#include "main/commands/burn_command.h"
#include "main/commands/history_command.h"
#include "main/commands/replay_command.h"

namespace turmericshift {

const std::vector<Command>& Commands() {
  static const std::vector<Command> commands = {
      {"entry", "run an entry: serve callers and operators, plan zones (daemon)", &RunEntry, true},
      {"agent", "run the agent of one target or worker (daemon)", &RunAgent, true},
      {"pool", "run an entry or agent of a pool on a platform (daemon)", &RunPool, true},
      {"dev", "run a complete system in this process on loopback", &RunDev},
      {"demo", "run sample jobs and requests of a deployment in this process", &RunDemo},
      {"stand-in", "serve a stand-in for a service of the platform, for testing", &RunStandIn},
      {"job", "submit, show, list and cancel jobs", &RunJob},
      {"request", "send one request to a service", &RunRequest},
      {"config", "check, publish, promote and show environment documents", &RunConfig},
      {"zone", "take an availability zone out or in, show zones", &RunZone},
      {"status", "show an entry's state and its agents", &RunStatus},
      {"report", "report burn: burn rates of the service-level error budgets", &RunReport},
      {"replay", "replay traces through the decision code and check their expectations",
       &RunReplay},
      {"explain", "explain a job's outcome from the log lines of the processes", &RunExplain},
      {"check-history", "check the daemons' logs for violations of the system's guarantees",
       &RunCheckHistory},
      {"bench", "run the benchmarks and print one table of figures", &RunBench},
      {"token", "generate a token and its salted hash", &RunToken},
      {"version", "print the version", &RunVersion},
  };
  return commands;
}

bool IsDaemon(const std::string& name) {
  return std::any_of(Commands().begin(), Commands().end(), [&](const Command& command) {
    return command.daemon && command.name == name;
  });
}

ExitCode Dispatch(const std::string& prefix, const std::vector<Command>& commands,
                  const Args& args) {
  if (args.empty() || args[0] == "--help" || args[0] == "-h") {
    std::printf("usage: %s COMMAND [OPTION…]\n\n", prefix.c_str());
    for (const Command& command : commands) {
      std::printf("  %-10s %s\n", command.name.c_str(), command.summary.c_str());
    }
    std::printf("\nexample:\n  %s %s --help\n", prefix.c_str(), commands.front().name.c_str());
    std::printf("\nexit codes: 0 done, 1 the operation failed, 2 invalid input or usage,\n");
    std::printf("            3 unavailable, so not run, 4 deadline exceeded, 5 outcome unknown\n");
    return args.empty() ? ExitCode::kUsage : ExitCode::kDone;
  }
  for (const Command& command : commands) {
    if (command.name == args[0]) return command.run(Args(args.begin() + 1, args.end()));
  }
  throw Error(ErrorKind::kInvalidInput,
              "unknown command '" + args[0] + "'; see " + prefix + " --help");
}

}  // namespace turmericshift
