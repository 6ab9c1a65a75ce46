#include "core/shutdown.h"

#include <pthread.h>
#include <signal.h>
#include <unistd.h>

#include "core/logging.h"
#include "core/thread.h"

namespace turmericshift {
namespace {

constexpr int kCutExitCode = 1;

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

void WaitForOne() {
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
  WaitForOne();
  LogEvent(LogLevel::kInfo, "stop_asked");
}

void ShutdownSignal::ExitOnNextSignal() {
  Thread cutter("cut-on-signal", [] {
    WaitForOne();
    LogEvent(LogLevel::kWarning, "stop_cut");
    _exit(kCutExitCode);
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
