// A thread that has no processor.
#pragma once

#include <pthread.h>
#include <signal.h>

namespace turmericshift {

// Holds a thread in a signal handler, as if it had no processor, until destroyed.
class HeldThread {
 public:
  explicit HeldThread(pthread_t thread);
  ~HeldThread();
  HeldThread(const HeldThread&) = delete;
  HeldThread& operator=(const HeldThread&) = delete;

 private:
  struct sigaction previous_ {};
};

}  // namespace turmericshift
