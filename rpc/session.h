// A connection to a peer, served by its own thread with its own Cap'n Proto event loop. The thread
// keeps the session alive until the connection ends.
#pragma once

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/io.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/error.h"

namespace turmericshift {

// Converts an exception of the RPC library to an Error. The outcome is always unknown.
Error ErrorFromRpc(const kj::Exception& exception);

class Session : public std::enable_shared_from_this<Session> {
 public:
  enum class Side { kConnecting, kAccepting };

  // Creates the bootstrap capability that the peer gets. Called on the session's thread. May be
  // empty on the connecting side.
  using MakeBootstrap = std::function<capnp::Capability::Client(Session*)>;

  // Takes over the connected socket `fd`. Returns when the event loop runs or the session has
  // failed. Throws Error(kUnavailable) if no thread can be started; the socket is then closed.
  static std::shared_ptr<Session> Open(int fd, Side side, const std::string& thread_name,
                                       const MakeBootstrap& make_bootstrap);
  ~Session();

  // Runs `body`, which returns a kj promise, on the session's loop and waits for its result.
  // Must be called from other threads. Throws Error(kConnectionLost),
  // Error(kDeadlineExceeded), or Error(kInternal) if the peer fails.
  template <typename Body>
  auto Call(Body&& body, Duration timeout) {
    const CallGuard call_guard(this);
    try {
      return executor_->executeSync([&] {
        return timer_->timeoutAfter(static_cast<int64_t>(timeout.count()) * kj::NANOSECONDS,
                                    body());
      });
    } catch (const kj::Exception& exception) {
      throw ErrorFromRpc(exception);
    }
  }

  // Returns the peer's bootstrap capability. For the connecting side, on the session's loop only.
  // Throws kj::Exception(DISCONNECTED) once the connection has ended.
  capnp::Capability::Client Bootstrap();
  // Destroys a capability on the loop that owns it, once the connection has ended. May be called
  // from any thread and does not wait.
  template <typename Client>
  void Release(std::unique_ptr<Client> client);

  // Ends the connection; calls in flight fail. May be called from any thread and more than once.
  // Does not wait, because two loops that close each other's sessions would wait forever.
  void Close();
  bool closed() const { return closed_.load(); }
  // Marks the peer as authenticated. Until then, an accepting session reads only as much as the
  // handshake needs.
  void Admit() { admitted_.store(true); }
  bool admitted() const { return admitted_.load(); }
  // Waits until the session's thread has ended.
  void WaitClosed();

 private:
  // Keeps the loop alive while a thread waits for it. If a loop were destroyed with work of another
  // thread queued, that thread could wait forever; an agent would then lose contact with planners.
  class CallGuard {
   public:
    // Throws Error(kConnectionLost) once the session has begun to end.
    explicit CallGuard(Session* session) : session_(session) { session_->EnterCall(); }
    ~CallGuard() { session_->LeaveCall(); }
    CallGuard(const CallGuard&) = delete;
    CallGuard& operator=(const CallGuard&) = delete;

   private:
    Session* const session_;
  };

  Session() = default;
  void Run(int fd, Side side, const MakeBootstrap& make_bootstrap);
  // Serves the connection until it ends or is closed.
  void Serve(kj::AsyncIoContext* io, kj::AutoCloseFd fd, Side side,
             const MakeBootstrap& make_bootstrap);
  void EnterCall();
  void LeaveCall();
  // Rejects new calls and runs the loop until all calls in flight have ended.
  void FinishCalls(kj::AsyncIoContext* io);
  void SignalEnded();

  std::atomic<bool> closed_{false};
  std::atomic<bool> admitted_{false};
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool started_ = false;
  // New calls are rejected; calls in flight are being finished.
  bool ending_ = false;
  bool ended_ = false;
  int calls_ = 0;
  kj::Own<const kj::Executor> executor_;
  // Owned by the thread's stack; valid while the loop runs.
  kj::Timer* timer_ = nullptr;
  // Null again once the connection has ended. After the start it is used on the loop's thread only.
  capnp::TwoPartyClient* client_ = nullptr;
  // Ends the connection.
  kj::Own<kj::CrossThreadPromiseFulfiller<void>> stop_;
  // Destroy the capabilities that were released.
  std::vector<std::function<void()>> released_;
};

template <typename Client>
void Session::Release(std::unique_ptr<Client> client) {
  Client* raw = client.release();
  const std::lock_guard<std::mutex> lock(mutex_);
  // Once the connection's tables are destroyed, destroying the capability would access them, so it
  // is leaked, with the state of the connection that it refers to.
  if (ending_ || ended_) return;
  released_.emplace_back([raw] { delete raw; });
}

}  // namespace turmericshift
