#include "core/thread.h"

#include <array>
#include <atomic>
#include <exception>
#include <memory>
#include <utility>

#include "core/error.h"
#include "core/logging.h"
#include "core/shutdown.h"

namespace turmericshift {
namespace {

constexpr size_t kMaxNameBytes = 15;
constexpr int kThreadFailedExitCode = 1;

struct Start {
  ThreadRole role;
  std::string name;
  std::function<void()> body;
};

void EndProcessWithout(const std::string& /*thread*/) { EndProcess(kThreadFailedExitCode); }

std::atomic<EssentialThreadAction> essential_thread_action{&EndProcessWithout};
std::atomic<ThreadStarter*> thread_starter{nullptr};

ThreadStarter* CurrentThreadStarter() {
  static ThreadStarter default_starter;
  ThreadStarter* const replacement = thread_starter.load();
  return replacement != nullptr ? replacement : &default_starter;
}

void HandleFailure(const Start& start, const char* error) {
  LogEvent(LogLevel::kError, "thread_failed",
           {{"thread", start.name}, {"thread_role", ThreadRoleName(start.role)}, {"error", error}});
  if (start.role == ThreadRole::kEssential) essential_thread_action.load()(start.name);
}

void* Run(void* argument) {
  const std::unique_ptr<Start> start(static_cast<Start*>(argument));
  pthread_setname_np(pthread_self(), start->name.substr(0, kMaxNameBytes).c_str());
  try {
    start->body();
  } catch (const std::exception& error) {
    HandleFailure(*start, error.what());
  } catch (...) {
    HandleFailure(*start, "an exception of an unknown type");
  }
  return nullptr;
}

}  // namespace

int ThreadStarter::Start(const std::string& /*name*/, pthread_t* handle,
                         const pthread_attr_t* attributes, void* (*run)(void*), void* argument) {
  return pthread_create(handle, attributes, run, argument);
}

const char* ThreadRoleName(ThreadRole role) {
  static constexpr std::array<const char*, kThreadRoleCount> kNames = {"expendable", "essential"};
  return kNames[static_cast<size_t>(role)];
}

void SetEssentialThreadAction(EssentialThreadAction action) {
  essential_thread_action.store(action != nullptr ? action : &EndProcessWithout);
}

void SetThreadStarter(ThreadStarter* starter) { thread_starter.store(starter); }

Thread::Thread(ThreadRole role, const std::string& name, std::function<void()> body,
               size_t stack_bytes) {
  auto start = std::make_unique<Start>(Start{role, name, std::move(body)});
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
