// POSIX threads with a name and a bounded stack.
#pragma once

#include <pthread.h>

#include <cstddef>
#include <functional>
#include <string>

namespace turmericshift {

inline constexpr size_t kDefaultStackBytes = size_t{256} * 1024;

// Creates the threads of the process. Tests replace it to simulate a shortage of threads.
class ThreadStarter {
 public:
  virtual ~ThreadStarter() = default;
  // Creates the thread called `name` like pthread_create, with the same results.
  virtual int Start(const std::string& name, pthread_t* handle, const pthread_attr_t* attributes,
                    void* (*run)(void*), void* argument);
};

// Creates all further threads through `starter`, which must outlive its use; null restores the
// default.
void SetThreadStarter(ThreadStarter* starter);

// A joinable thread. The destructor joins the thread, so the owner must make the body return first.
class Thread {
 public:
  Thread() = default;
  // Names are truncated to 15 bytes, the kernel's limit.
  // Throws Error(kUnavailable, not run) if the system can't create another thread.
  Thread(const std::string& name, std::function<void()> body,
         size_t stack_bytes = kDefaultStackBytes);
  Thread(Thread&& other) noexcept;
  Thread& operator=(Thread&& other) noexcept;
  Thread(const Thread&) = delete;
  Thread& operator=(const Thread&) = delete;
  ~Thread();

  void Join();
  // Lets the thread run on without its owner; the body must own everything that it uses.
  void Detach();
  bool joinable() const { return running_; }

 private:
  pthread_t handle_ = 0;
  bool running_ = false;
};

}  // namespace turmericshift
