// POSIX threads with a name and a bounded stack.
#pragma once

#include <pthread.h>

#include <cstddef>
#include <functional>
#include <string>
#include <utility>

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

enum class ThreadRole {
  // Serves one connection, one call or one batch. If its body throws, this is only logged.
  kExpendable,
  // The process can't do without it. If its body throws, the process ends with an error line and
  // status 1, so that its supervisor starts it again.
  kEssential,
};

inline constexpr int kThreadRoleCount = static_cast<int>(ThreadRole::kEssential) + 1;

const char* ThreadRoleName(ThreadRole role);

// Called on an essential thread whose body has thrown, after the line `thread_failed` was logged.
using EssentialThreadAction = void (*)(const std::string& thread);

// Replaces the action, which by default flushes the log and ends the process with status 1. If the
// new action returns, only the thread ends. Null restores the default.
void SetEssentialThreadAction(EssentialThreadAction action);

// A joinable thread. The destructor joins the thread, so the owner must make the body return first.
class Thread {
 public:
  Thread() = default;
  // Starts an expendable thread. Names are truncated to 15 bytes, the kernel's limit.
  // Throws Error(kUnavailable, not run) if the system can't create another thread.
  Thread(const std::string& name, std::function<void()> body,
         size_t stack_bytes = kDefaultStackBytes)
      : Thread(ThreadRole::kExpendable, name, std::move(body), stack_bytes) {}
  Thread(ThreadRole role, const std::string& name, std::function<void()> body,
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
