// POSIX threads with a name and a bounded stack.
#pragma once

#include <pthread.h>

#include <cstddef>
#include <functional>
#include <string>

namespace turmericshift {

inline constexpr size_t kDefaultStackBytes = size_t{256} * 1024;

// A joinable thread. The destructor joins, so the owner must first make the body return.
class Thread {
 public:
  Thread() = default;
  // Names longer than 15 bytes are cut, as the kernel keeps no more.
  // Throws Error(kUnavailable) when the system has no room for another thread.
  Thread(const std::string& name, std::function<void()> body,
         size_t stack_bytes = kDefaultStackBytes);
  Thread(Thread&& other) noexcept;
  Thread& operator=(Thread&& other) noexcept;
  Thread(const Thread&) = delete;
  Thread& operator=(const Thread&) = delete;
  ~Thread();

  void Join();
  // Lets the thread end by itself; its body must own all that it uses.
  void Detach();
  bool joinable() const { return running_; }

 private:
  pthread_t handle_ = 0;
  bool running_ = false;
};

}  // namespace turmericshift
