#include <cstdio>
#include <exception>

#include "core/crash_report.h"
#include "core/error.h"
#include "core/logging.h"
#include "core/shutdown.h"
#include "main/commands.h"
#include "main/register_modules.h"

namespace turmericshift {
namespace {

ExitCode Run(int argc, char** argv) {
  try {
    // Roles that serve replace the identity with their own.
    InitLogging("turmericshift", {"command", "", ""});
    RegisterModules();
    const Words words(argv + 1, argv + argc);
    return Dispatch("turmericshift", Commands(), words);
  } catch (const Error& error) {
    const ErrorAnswer& answer = AnswerFor(error.kind());
    std::fprintf(stderr, "turmericshift: %s\n  (%s, %s; next: %s)\n", error.what(), answer.name,
                 OutcomeName(error.outcome()), answer.advice);
    return ExitCodeFor(error);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "turmericshift: %s\n", error.what());
    return AnswerFor(ErrorKind::kInternal).exit_code;
  }
}

}  // namespace
}  // namespace turmericshift

int main(int argc, char** argv) {
  // Before anything else: the platform may tell a daemon of changed settings while it starts.
  if (argc > 1 && turmericshift::IsDaemon(argv[1])) turmericshift::IgnoreHangUpAndPipe();
  turmericshift::InstallCrashReport();
  const turmericshift::ExitCode code = turmericshift::Run(argc, argv);
  std::fflush(nullptr);
  // Threads that still wait for a silent entry must not meet the end of what they use.
  turmericshift::EndProcess(static_cast<int>(code));
}
