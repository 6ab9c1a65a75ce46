// A thread pool for blocking work that creates threads on demand, up to a limit.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "core/failure_episode.h"
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
  // submit. If no further thread can be started, the work waits for the threads that the pool has;
  // if it has none, throws Error(kUnavailable, not run) and does not queue the work.
  void Submit(std::function<void()> work);

 private:
  void StartThread();
  void Run();

  const std::string name_;
  const int max_threads_;
  const size_t stack_bytes_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  int idle_ = 0;
  FailureEpisode thread_starts_;
  std::deque<std::function<void()>> queue_;
  std::vector<Thread> threads_;
};

}  // namespace turmericshift
