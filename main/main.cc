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
    // Daemons call InitLogging again with their own role, name and zone.
    InitLogging("turmericshift", {"command", "", ""});
    RegisterModules();
    const Args args(argv + 1, argv + argc);
    return Dispatch("turmericshift", Commands(), args);
  } catch (const Error& error) {
    const ErrorInfo& answer = ErrorInfoFor(error.kind());
    std::fprintf(stderr, "turmericshift: %s\n  (%s, %s; next: %s)\n", error.what(), answer.name,
                 OutcomeName(error.outcome()), answer.advice);
    return ExitCodeFor(error);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "turmericshift: %s\n", error.what());
    return ErrorInfoFor(ErrorKind::kInternal).exit_code;
  }
}

}  // namespace
}  // namespace turmericshift

int main(int argc, char** argv) {
  // Must come first: the platform may send SIGHUP for changed settings while a daemon is still
  // starting, and the default action would end the process.
  if (argc > 1 && turmericshift::IsDaemon(argv[1])) turmericshift::IgnoreHangUpAndPipe();
  turmericshift::InstallCrashReport();
  const turmericshift::ExitCode code = turmericshift::Run(argc, argv);
  std::fflush(nullptr);
  // Ends without running static destructors, since detached threads of sessions may still run and
  // would use destroyed objects.
  turmericshift::EndProcess(static_cast<int>(code));
}
