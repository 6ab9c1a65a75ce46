// Shutdown by signals: the first SIGTERM or SIGINT requests a graceful stop, the second signal
// forces an exit.
#pragma once

#include <memory>

#include "core/clock.h"

namespace turmericshift {

class ShutdownSignal {
 public:
  // Blocks both signals for this thread and all threads created later. Construct the ShutdownSignal
  // before any other thread is created; otherwise a library's thread may receive the signal, and
  // the process dies with requests in flight.
  ShutdownSignal();

  // Until BeginServing, the first signal ends the process immediately with exit code 0, whatever
  // the start waits for. Logs when a signal arrives, so call this after InitLogging.
  void EndDuringStart();
  // To be called before the first caller can connect. From now on the first signal is left to Wait.
  void BeginServing();

  // Blocks until the first signal arrives; returns when it arrived, which may be before this call.
  // Requires EndDuringStart and BeginServing.
  Time Wait();

  // From now on, another signal ends the process immediately with exit code 1; so does one that
  // arrived since Wait returned. Requires EndDuringStart.
  void ExitOnNextSignal();

 private:
  struct State;
  // Shared with the thread that receives the signals.
  std::shared_ptr<State> state_;
};

// Ignores SIGHUP and SIGPIPE, which must not end a daemon, not even while it starts. SIGHUP
// announces a changed settings file, which takes effect only after a restart. SIGPIPE announces a
// closed connection, which the write call reports as well.
void IgnoreHangUpAndPipe();

// Flushes the log and exits immediately with `code`. For daemons that are done except for threads
// in blocking calls, which may take seconds, longer than the platform allows for a stop.
[[noreturn]] void EndProcess(int code);

}  // namespace turmericshift
