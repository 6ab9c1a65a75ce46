// Pauses a thread at a system call, as a machine does whose processors are busy.
#pragma once

namespace turmericshift {

enum class PausePoint {
  // A connection has been accepted, and the call has not returned.
  kAfterAccept,
  // Around the attachment of a packet filter to a socket.
  kBeforeFilter,
  kAfterFilter,
  // Around the shutdown of a listening socket.
  kBeforeListenerShutdown,
  kAfterListenerShutdown,
};

// Pauses the first thread of the process that reaches `point`, until Release or the destructor.
// There is at most one pause at a time.
class CallPause {
 public:
  explicit CallPause(PausePoint point);
  ~CallPause();
  CallPause(const CallPause&) = delete;
  CallPause& operator=(const CallPause&) = delete;

  void WaitUntilReached();
  void Release();

  // Called by the replaced system calls.
  static void Reach(PausePoint point);

 private:
  const PausePoint point_;
  bool reached_ = false;
  bool released_ = false;
  // Whether the thread has left the pause, after which it does not use this object.
  bool left_ = false;
};

}  // namespace turmericshift
