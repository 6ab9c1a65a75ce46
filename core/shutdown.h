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
  void CutOnNext();
};

}  // namespace turmericshift
