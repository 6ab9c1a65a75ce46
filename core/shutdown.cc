#include "core/shutdown.h"

#include <pthread.h>
#include <signal.h>
#include <unistd.h>

#include <condition_variable>
#include <mutex>
#include <optional>

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

struct ShutdownSignal::State {
  std::mutex mutex;
  std::condition_variable changed;
  bool serving = false;
  std::optional<Time> asked_at;
  bool exits_on_next_signal = false;
  bool asked_again = false;

  void ReceiveSignals() {
    WaitForStopSignal();
    NoteFirstSignal();
    while (true) {
      WaitForStopSignal();
      const std::lock_guard<std::mutex> lock(mutex);
      asked_again = true;
      ExitIfAskedAgain();
    }
  }

  void NoteFirstSignal() {
    const std::lock_guard<std::mutex> lock(mutex);
    asked_at = DefaultClock().Now();
    LogEvent(LogLevel::kInfo, "stop_asked", {{"during_start", !serving}});
    if (!serving) EndProcess(0);
    changed.notify_all();
  }

  // Requires `mutex`.
  void ExitIfAskedAgain() const {
    if (!exits_on_next_signal || !asked_again) return;
    LogEvent(LogLevel::kWarning, "stop_cut");
    _exit(kForcedExitCode);
  }
};

ShutdownSignal::ShutdownSignal() : state_(std::make_shared<State>()) {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void ShutdownSignal::EndDuringStart() {
  Thread receiver(ThreadRole::kEssential, "stop-signal",
                  [state = state_] { state->ReceiveSignals(); });
  receiver.Detach();
}

void ShutdownSignal::BeginServing() {
  const std::lock_guard<std::mutex> lock(state_->mutex);
  state_->serving = true;
}

Time ShutdownSignal::Wait() {
  std::unique_lock<std::mutex> lock(state_->mutex);
  state_->changed.wait(lock, [this] { return state_->asked_at.has_value(); });
  return *state_->asked_at;
}

void ShutdownSignal::ExitOnNextSignal() {
  const std::lock_guard<std::mutex> lock(state_->mutex);
  state_->exits_on_next_signal = true;
  state_->ExitIfAskedAgain();
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
