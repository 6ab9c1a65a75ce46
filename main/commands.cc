#include "main/commands.h"

#include <cstdio>
#include <fstream>
#include <sstream>

#include "main/bench.h"
#include "servers/config/environment.h"

namespace turmericshift {
namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw Error(ErrorKind::kInvalidInput, "can't read " + path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

const std::vector<Command>& Commands() {
  static const std::vector<Command> commands = {
      {"demo", "run a whole system in this process and show jobs, requests and a zone out",
       &RunDemo},
      {"config", "check an environment document", &RunConfig},
      {"bench", "run the benchmarks and print one table of figures", &RunBench},
      {"version", "print the version", &RunVersion},
  };
  return commands;
}

ExitCode RunConfig(const Words& words) {
  if (words.size() != 2 || words[0] != "check") {
    throw Error(ErrorKind::kInvalidInput, "use: turmericshift config check FILE");
  }
  ParseEnvironment(words[1], ReadFile(words[1]));
  std::printf("%s: no problem found\n", words[1].c_str());
  return ExitCode::kDone;
}

ExitCode RunVersion(const Words& /*words*/) {
  std::printf("turmericshift 0.1.0\n");
  return ExitCode::kDone;
}

}  // namespace turmericshift
