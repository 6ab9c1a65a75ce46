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
      {"entry", "serve callers and operators, plan zones (a process)", &RunEntry, true},
      {"agent", "stand beside one target or worker (a process)", &RunAgent, true},
      {"pool", "serve as an entry or agent of a pool on a platform (a process)", &RunPool, true},
      {"dev", "run a whole system in this process on loopback", &RunDev},
      {"demo", "run jobs and requests of a deployment in this process", &RunDemo},
      {"stand-in", "serve a stand-in of the platform, for trying things out", &RunStandIn},
      {"job", "submit, show, list and cancel jobs", &RunJob},
      {"request", "send one request to a service", &RunRequest},
      {"config", "check, publish, promote and show environment documents", &RunConfig},
      {"zone", "take an availability zone out or in, show zones", &RunZone},
      {"status", "show what an entry knows", &RunStatus},
      {"report", "report burn: how fast service-level budgets are used up", &RunReport},
      {"replay", "run traces against the decision code and check their outcomes", &RunReplay},
      {"explain", "tell what became of a job, from the log lines of its processes", &RunExplain},
      {"check-history", "check the daemons' logs against the promises", &RunCheckHistory},
      {"bench", "run the benchmarks and print one table of figures", &RunBench},
      {"token", "make a token and its salted hash", &RunToken},
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
                  const Words& words) {
  if (words.empty() || words[0] == "--help" || words[0] == "-h") {
    std::printf("usage: %s COMMAND [OPTION…]\n\n", prefix.c_str());
    for (const Command& command : commands) {
      std::printf("  %-10s %s\n", command.name.c_str(), command.summary.c_str());
    }
    std::printf("\nexample:\n  %s %s --help\n", prefix.c_str(), commands.front().name.c_str());
    std::printf("\nexit codes: 0 done, 1 the thing asked for failed, 2 bad input or usage,\n");
    std::printf("            3 unavailable, so not run, 4 the time was up, 5 outcome unknown\n");
    return words.empty() ? ExitCode::kUsage : ExitCode::kDone;
  }
  for (const Command& command : commands) {
    if (command.name == words[0]) return command.run(Words(words.begin() + 1, words.end()));
  }
  throw Error(ErrorKind::kInvalidInput,
              "unknown command '" + words[0] + "'; see " + prefix + " --help");
}

}  // namespace turmericshift
