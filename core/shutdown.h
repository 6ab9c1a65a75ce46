// Orderly shutdown: the first SIGTERM or SIGINT asks for a graceful stop, a second one cuts.
#pragma once

namespace turmericshift {

class ShutdownSignal {
 public:
  // Blocks the two signals for this thread and every thread made later; construct it first in
  // main, or a thread of a library takes the signal and the process dies with requests in flight.
  ShutdownSignal();

  // Waits for the first signal.
  void Wait();

  // From here on, a further signal ends the process at once with exit code 1.
  void ExitOnNextSignal();
};

// SIGHUP tells that the settings file has changed, which takes a restart; SIGPIPE that a peer has
// gone, which the write tells as well. Neither may end a daemon, also not while it starts.
void IgnoreHangUpAndPipe();

// Ends the process at once with `code`. For daemons that have nothing left to do but wait for
// threads in calls that last seconds, longer than the platform gives a stop.
[[noreturn]] void EndProcess(int code);

}  // namespace turmericshift
