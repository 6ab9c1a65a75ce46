#include "tests/stand_ins/thread_limit.h"

#include <dlfcn.h>
#include <pthread.h>

#include <atomic>
#include <cerrno>

namespace turmericshift {
namespace {

constexpr int kUnlimited = -1;

std::atomic<int> remaining_starts{kUnlimited};

bool TakeStart() {
  int remaining = remaining_starts.load();
  while (remaining > 0 && !remaining_starts.compare_exchange_weak(remaining, remaining - 1)) {
  }
  return remaining != 0;
}

}  // namespace

ThreadLimit::ThreadLimit(int starts) { remaining_starts.store(starts); }
ThreadLimit::~ThreadLimit() { remaining_starts.store(kUnlimited); }

}  // namespace turmericshift

// Replaces the system's function in programs that link this file.
extern "C" int pthread_create(pthread_t* thread, const pthread_attr_t* attributes,
                              void* (*run)(void*), void* argument) noexcept {
  using Create = int (*)(pthread_t*, const pthread_attr_t*, void* (*)(void*), void*);
  static const auto create = reinterpret_cast<Create>(dlsym(RTLD_NEXT, "pthread_create"));
  return turmericshift::TakeStart() ? create(thread, attributes, run, argument) : EAGAIN;
}
