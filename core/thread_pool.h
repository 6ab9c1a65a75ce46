// A thread pool for blocking work that creates threads on demand, up to a limit.
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
  // Runs all queued work, then joins the threads.
  ~ThreadPool();
  ThreadPool(const ThreadPool&) = delete;
  ThreadPool& operator=(const ThreadPool&) = delete;

  // Queues `work`. Never blocks and never drops work, so callers must limit how much work they
  // submit.
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
