#include "core/thread_pool.h"

#include <utility>

#include "core/error.h"
#include "core/logging.h"

namespace turmericshift {

ThreadPool::ThreadPool(const std::string& name, int max_threads, size_t stack_bytes)
    : name_(name),
      max_threads_(max_threads),
      stack_bytes_(stack_bytes),
      thread_starts_("thread_start", {{"pool", name}}) {}

ThreadPool::~ThreadPool() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  for (Thread& thread : threads_) thread.Join();
}

void ThreadPool::Submit(std::function<void()> work) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const bool needs_thread = static_cast<int>(queue_.size()) >= idle_;
  // The thread is started first: work must not run after the caller was told that it does not.
  if (needs_thread && static_cast<int>(threads_.size()) < max_threads_) StartThread();
  queue_.push_back(std::move(work));
  changed_.notify_one();
}

void ThreadPool::StartThread() {
  try {
    threads_.emplace_back(
        ThreadRole::kEssential, name_, [this] { Run(); }, stack_bytes_);
    thread_starts_.NoteSuccess();
  } catch (const Error& error) {
    thread_starts_.NoteFailure(error.what());
    if (threads_.empty()) throw;
  }
}

void ThreadPool::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    ++idle_;
    changed_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
    --idle_;
    if (queue_.empty()) return;
    const std::function<void()> work = std::move(queue_.front());
    queue_.pop_front();
    lock.unlock();
    try {
      work();
    } catch (const std::exception& error) {
      LogEvent(LogLevel::kError, "work_failed", {{"pool", name_}, {"error", error.what()}});
    } catch (...) {
      LogEvent(LogLevel::kError, "work_failed",
               {{"pool", name_}, {"error", "an exception of an unknown type"}});
    }
    lock.lock();
  }
}

}  // namespace turmericshift
