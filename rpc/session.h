// One connection to a peer, served by a thread of its own with its own Cap'n Proto event loop. The
// thread keeps the session alive until the connection ends.
#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "core/clock.h"
#include "core/error.h"

namespace turmericshift {

// Maps what the RPC library throws to the closed list. Every one leaves the outcome unknown.
Error ErrorFromRpc(const kj::Exception& exception);

class Session : public std::enable_shared_from_this<Session> {
 public:
  enum class Side { kConnecting, kAccepting };

  // Makes the capability that the peer meets first; called on the session's thread. May be empty
  // on the connecting side.
  using MakeBootstrap = std::function<capnp::Capability::Client(Session*)>;

  // Takes over the connected socket `fd`. Returns when the event loop runs.
  static std::shared_ptr<Session> Open(int fd, Side side, const std::string& thread_name,
                                       const MakeBootstrap& make_bootstrap);
  ~Session();

  // Runs `body`, which returns a kj promise, on the session's loop and waits for its result.
  // Call from other threads only. Throws Error: kConnectionLost, kDeadlineExceeded.
  template <typename Body>
  auto Call(Body&& body, Duration timeout) {
    const InCall in_call(this);
    try {
      return executor_->executeSync([&] {
        return timer_->timeoutAfter(static_cast<int64_t>(timeout.count()) * kj::NANOSECONDS,
                                    body());
      });
    } catch (const kj::Exception& exception) {
      throw ErrorFromRpc(exception);
    }
  }

  // The peer's first capability; use on the session's loop only, on the connecting side. Throws
  // kj::Exception(DISCONNECTED) once the connection has ended.
  capnp::Capability::Client Bootstrap();
  // Drops a capability on the loop that owns it.
  template <typename Client>
  void Release(std::unique_ptr<Client> client);

  // Ends the connection; calls in flight fail. Safe from any thread, more than once.
  void Close();
  bool closed() const { return closed_.load(); }
  // The peer has proved that it belongs here. Until then an accepting session reads only what a
  // proof needs.
  void Admit() { admitted_.store(true); }
  bool admitted() const { return admitted_.load(); }
  // Waits until the session's thread has ended.
  void WaitClosed();
  // Called once on the session's thread when the connection has ended.
  void OnClosed(std::function<void()> callback);

 private:
  // While one lives, the loop lives as well. A thread that has handed something to a loop which is
  // then destroyed may wait for it for good: an agent then hears of no planner any more.
  class InCall {
   public:
    // Throws Error(kConnectionLost) once the session has begun to end.
    explicit InCall(Session* session) : session_(session) { session_->EnterCall(); }
    ~InCall() { session_->LeaveCall(); }
    InCall(const InCall&) = delete;
    InCall& operator=(const InCall&) = delete;

   private:
    Session* const session_;
  };

  Session() = default;
  void Run(int fd, Side side, const MakeBootstrap& make_bootstrap);
  void EnterCall();
  void LeaveCall();
  // Ends what has been handed to the loop, and lets nothing more in.
  void FinishCalls(kj::AsyncIoContext* io);

  std::atomic<bool> closed_{false};
  std::atomic<bool> admitted_{false};
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool started_ = false;
  // No more calls; those under way are being finished.
  bool ending_ = false;
  bool ended_ = false;
  int calls_ = 0;
  kj::Own<const kj::Executor> executor_;
  std::function<void()> on_closed_;
  // Owned by the thread's stack; valid while the loop runs.
  kj::Timer* timer_ = nullptr;
  // Null again once the connection has ended; then used on the loop's thread only.
  capnp::TwoPartyClient* client_ = nullptr;
  kj::PromiseFulfiller<void>* stop_ = nullptr;
};

template <typename Client>
void Session::Release(std::unique_ptr<Client> client) {
  Client* raw = client.release();
  try {
    const InCall in_call(this);
    executor_->executeSync([raw] { delete raw; });
  } catch (const Error&) {
    // The loop ends or has ended and with it the connection's tables; dropping the capability here
    // would touch them from the wrong thread, so its few bytes are left.
  }
}

}  // namespace turmericshift
