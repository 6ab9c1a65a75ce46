#include "core/shutdown.h"

#include <pthread.h>
#include <signal.h>
#include <unistd.h>

#include "core/logging.h"
#include "core/thread.h"

namespace turmericshift {
namespace {

constexpr int kForcedExitCode = 1;

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

void WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
}

}  // namespace

ShutdownSignal::ShutdownSignal() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void ShutdownSignal::Wait() {
  WaitForStopSignal();
  LogEvent(LogLevel::kInfo, "stop_asked");
}

void ShutdownSignal::ExitOnNextSignal() {
  Thread cutter("cut-on-signal", [] {
    WaitForStopSignal();
    LogEvent(LogLevel::kWarning, "stop_cut");
    _exit(kForcedExitCode);
  });
  cutter.Detach();
}

void IgnoreHangUpAndPipe() {
  signal(SIGHUP, SIG_IGN);
  signal(SIGPIPE, SIG_IGN);
}

void EndProcess(int code) {
  FlushLog();
  _exit(code);
}

}  // namespace turmericshift
