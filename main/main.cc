#include <cstdio>
#include <exception>

#include "core/error.h"
#include "core/logging.h"
#include "main/commands.h"
#include "main/register_modules.h"

namespace turmericshift {
namespace {

void PrintHelp() {
  std::printf("usage: turmericshift COMMAND [OPTION…]\n\n");
  for (const Command& command : Commands()) {
    std::printf("  %-10s %s\n", command.name.c_str(), command.summary.c_str());
  }
  std::printf("\nExit codes: 0 done, 1 failed, 2 bad input or usage, 3 unavailable (not run)\n");
}

ExitCode Run(const Words& words) {
  if (words.empty() || words[0] == "--help") {
    PrintHelp();
    return words.empty() ? ExitCode::kUsage : ExitCode::kDone;
  }
  for (const Command& command : Commands()) {
    if (command.name == words[0]) return command.run(Words(words.begin() + 1, words.end()));
  }
  throw Error(ErrorKind::kInvalidInput,
              "unknown command '" + words[0] + "'; see turmericshift --help");
}

}  // namespace
}  // namespace turmericshift

int main(int argc, char** argv) {
  using turmericshift::AnswerFor;
  using turmericshift::ErrorKind;
  try {
    turmericshift::RegisterModules();
    return static_cast<int>(turmericshift::Run(turmericshift::Words(argv + 1, argv + argc)));
  } catch (const turmericshift::Error& error) {
    const turmericshift::ErrorAnswer& answer = AnswerFor(error.kind());
    std::fprintf(stderr, "turmericshift: %s\n(%s: %s)\n", error.what(), answer.name, answer.advice);
    return static_cast<int>(answer.exit_code);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "turmericshift: %s\n", error.what());
    return static_cast<int>(AnswerFor(ErrorKind::kInternal).exit_code);
  }
}
