// A pool of threads that grows up to a bound, for work that blocks.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "core/thread.h"

namespace turmericshift {

class ThreadPool {
 public:
  ThreadPool(const std::string& name, int max_threads, size_t stack_bytes = kDefaultStackBytes);
  // Runs what is queued, then joins.
  ~ThreadPool();
  ThreadPool(const ThreadPool&) = delete;
  ThreadPool& operator=(const ThreadPool&) = delete;

  // Never blocks and never drops; bound the number of callers instead.
  void Submit(std::function<void()> work);

 private:
  void Run();

  const std::string name_;
  const int max_threads_;
  const size_t stack_bytes_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  int idle_ = 0;
  std::deque<std::function<void()>> queue_;
  std::vector<Thread> threads_;
};

}  // namespace turmericshift
