// A shortage of threads, as on a machine at its limit of threads or processes.
#pragma once

#include <atomic>
#include <string>

#include "core/thread.h"

namespace turmericshift {

// While it exists, no thread of the given name can be started; the empty name stands for all.
class ThreadShortage : public ThreadStarter {
 public:
  explicit ThreadShortage(std::string name) : name_(std::move(name)) { SetThreadStarter(this); }
  ~ThreadShortage() override { SetThreadStarter(nullptr); }
  ThreadShortage(const ThreadShortage&) = delete;
  ThreadShortage& operator=(const ThreadShortage&) = delete;

  // Starts up to `count` more threads of the name before the shortage begins.
  void Allow(int count) { allowed_.store(count); }
  // Number of threads that were not started.
  int refusals() const { return refusals_.load(); }

  int Start(const std::string& name, pthread_t* handle, const pthread_attr_t* attributes,
            void* (*run)(void*), void* argument) override;

 private:
  const std::string name_;
  std::atomic<int> allowed_{0};
  std::atomic<int> refusals_{0};
};

}  // namespace turmericshift
