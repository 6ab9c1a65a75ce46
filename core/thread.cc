#include "core/thread.h"

#include <atomic>
#include <exception>
#include <memory>
#include <utility>

#include "core/error.h"
#include "core/logging.h"

namespace turmericshift {
namespace {

constexpr size_t kMaxNameBytes = 15;

struct Start {
  std::string name;
  std::function<void()> body;
};

std::atomic<ThreadStarter*> thread_starter{nullptr};

ThreadStarter* CurrentThreadStarter() {
  static ThreadStarter default_starter;
  ThreadStarter* const replacement = thread_starter.load();
  return replacement != nullptr ? replacement : &default_starter;
}

void* Run(void* argument) {
  const std::unique_ptr<Start> start(static_cast<Start*>(argument));
  pthread_setname_np(pthread_self(), start->name.substr(0, kMaxNameBytes).c_str());
  try {
    start->body();
  } catch (const std::exception& error) {
    // An exception that escapes from a thread would end the whole process.
    LogEvent(LogLevel::kError, "thread_failed", {{"thread", start->name}, {"error", error.what()}});
  }
  return nullptr;
}

}  // namespace

int ThreadStarter::Start(const std::string& /*name*/, pthread_t* handle,
                         const pthread_attr_t* attributes, void* (*run)(void*), void* argument) {
  return pthread_create(handle, attributes, run, argument);
}

void SetThreadStarter(ThreadStarter* starter) { thread_starter.store(starter); }

Thread::Thread(const std::string& name, std::function<void()> body, size_t stack_bytes) {
  auto start = std::make_unique<Start>(Start{name, std::move(body)});
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, stack_bytes);
  const int failure = CurrentThreadStarter()->Start(name, &handle_, &attributes, &Run, start.get());
  pthread_attr_destroy(&attributes);
  if (failure != 0) {
    throw Error(ErrorKind::kUnavailable, Outcome::kNotRun, "can't create thread " + name);
  }
  static_cast<void>(start.release());
  running_ = true;
}

Thread::Thread(Thread&& other) noexcept
    : handle_(other.handle_), running_(std::exchange(other.running_, false)) {}

Thread& Thread::operator=(Thread&& other) noexcept {
  if (this == &other) return *this;
  Join();
  handle_ = other.handle_;
  running_ = std::exchange(other.running_, false);
  return *this;
}

Thread::~Thread() { Join(); }

void Thread::Join() {
  if (!running_) return;
  pthread_join(handle_, nullptr);
  running_ = false;
}

void Thread::Detach() {
  if (!running_) return;
  pthread_detach(handle_);
  running_ = false;
}

}  // namespace turmericshift
