#include "tests/stand_ins/call_pause.h"

#include <dlfcn.h>
#include <sys/socket.h>

#include <condition_variable>
#include <mutex>

namespace turmericshift {
namespace {

std::mutex pause_mutex;
std::condition_variable pause_changed;
CallPause* current_pause = nullptr;

}  // namespace

CallPause::CallPause(PausePoint point) : point_(point) {
  const std::lock_guard<std::mutex> lock(pause_mutex);
  current_pause = this;
}

CallPause::~CallPause() {
  Release();
  std::unique_lock<std::mutex> lock(pause_mutex);
  pause_changed.wait(lock, [this] { return !reached_ || left_; });
  current_pause = nullptr;
}

void CallPause::WaitUntilReached() {
  std::unique_lock<std::mutex> lock(pause_mutex);
  pause_changed.wait(lock, [this] { return reached_; });
}

void CallPause::Release() {
  const std::lock_guard<std::mutex> lock(pause_mutex);
  released_ = true;
  pause_changed.notify_all();
}

void CallPause::Reach(PausePoint point) {
  std::unique_lock<std::mutex> lock(pause_mutex);
  CallPause* const pause = current_pause;
  if (pause == nullptr || pause->point_ != point || pause->reached_ || pause->released_) return;
  pause->reached_ = true;
  pause_changed.notify_all();
  pause_changed.wait(lock, [pause] { return pause->released_; });
  pause->left_ = true;
  pause_changed.notify_all();
}

namespace {

template <typename Function>
Function Original(const char* name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

bool IsListener(int fd) {
  int listens = 0;
  socklen_t size = sizeof(listens);
  return getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) == 0 && listens != 0;
}

}  // namespace
}  // namespace turmericshift

// The program's own functions take the place of the C library's, also for the HTTP library.
extern "C" {

using turmericshift::CallPause;
using turmericshift::Original;
using turmericshift::PausePoint;

int accept4(int fd, sockaddr* address, socklen_t* size, int flags) {
  static const auto original = Original<decltype(&accept4)>("accept4");
  const int accepted = original(fd, address, size, flags);
  if (accepted >= 0) CallPause::Reach(PausePoint::kAfterAccept);
  return accepted;
}

int setsockopt(int fd, int level, int name, const void* value, socklen_t size) noexcept {
  static const auto original = Original<decltype(&setsockopt)>("setsockopt");
  const bool is_filter = level == SOL_SOCKET && name == SO_ATTACH_FILTER;
  if (is_filter) CallPause::Reach(PausePoint::kBeforeFilter);
  const int result = original(fd, level, name, value, size);
  if (is_filter) CallPause::Reach(PausePoint::kAfterFilter);
  return result;
}

int shutdown(int fd, int how) noexcept {
  static const auto original = Original<decltype(&shutdown)>("shutdown");
  const bool is_listener = turmericshift::IsListener(fd);
  if (is_listener) CallPause::Reach(PausePoint::kBeforeListenerShutdown);
  const int result = original(fd, how);
  if (is_listener) CallPause::Reach(PausePoint::kAfterListenerShutdown);
  return result;
}

}  // extern "C"
