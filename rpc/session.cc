#include "rpc/session.h"

#include <kj/debug.h>
#include <kj/io.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "core/logging.h"
#include "core/thread.h"
#include "rpc/admission_stream.h"

namespace turmericshift {
namespace {

constexpr size_t kSessionStackBytes = size_t{256} * 1024;
// How often FinishCalls checks for calls in flight. They fail within a few turns of the loop once
// the connection has ended.
constexpr kj::Duration kFinishCallsInterval = 1 * kj::MILLISECONDS;

void LogFailure(const kj::Exception& exception) {
  LogEvent(LogLevel::kWarning, "session_failed", {{"error", exception.getDescription().cStr()}});
}

}  // namespace

Error ErrorFromRpc(const kj::Exception& exception) {
  const std::string what = exception.getDescription().cStr();
  switch (exception.getType()) {
    case kj::Exception::Type::OVERLOADED:
      return {ErrorKind::kDeadlineExceeded, Outcome::kUnknown, "the peer did not answer: " + what};
    case kj::Exception::Type::DISCONNECTED:
      return {ErrorKind::kConnectionLost, Outcome::kUnknown, "the session is lost: " + what};
    case kj::Exception::Type::UNIMPLEMENTED:
    case kj::Exception::Type::FAILED:
      break;
  }
  return {ErrorKind::kInternal, Outcome::kUnknown, "the call failed: " + what};
}

std::shared_ptr<Session> Session::Open(int fd, Side side, const std::string& thread_name,
                                       const MakeBootstrap& make_bootstrap) {
  kj::AutoCloseFd socket(fd);
  const std::shared_ptr<Session> session(new Session);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  Thread thread(
      thread_name, [session, fd, side, make_bootstrap] { session->Run(fd, side, make_bootstrap); },
      kSessionStackBytes);
  // The thread closes it.
  socket.release();
  thread.Detach();
  std::unique_lock<std::mutex> lock(session->mutex_);
  session->changed_.wait(lock, [&session] { return session->started_ || session->ended_; });
  return session;
}

Session::~Session() = default;

void Session::Run(int fd, Side side, const MakeBootstrap& make_bootstrap) {
  kj::AutoCloseFd owned_fd(fd);
  try {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    auto socket = io.lowLevelProvider->wrapSocketFd(kj::mv(owned_fd));
    // The connecting side chose its peer, so it does not limit what the peer sends.
    if (side == Side::kConnecting) Admit();
    auto stream = kj::heap<AdmissionStream>(socket.get(), &admitted_);
    auto stop = kj::newPromiseAndFulfiller<void>();
    kj::Maybe<capnp::Capability::Client> bootstrap;
    if (make_bootstrap) bootstrap = make_bootstrap(this);
    const auto wire_side = side == Side::kConnecting ? capnp::rpc::twoparty::Side::CLIENT
                                                     : capnp::rpc::twoparty::Side::SERVER;
    kj::Own<capnp::TwoPartyClient> client;
    KJ_IF_MAYBE (capability, bootstrap) {
      client = kj::heap<capnp::TwoPartyClient>(*stream, kj::mv(*capability), wire_side);
    } else {
      client = kj::heap<capnp::TwoPartyClient>(*stream);
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      executor_ = kj::getCurrentThreadExecutor().addRef();
      timer_ = &io.provider->getTimer();
      client_ = client.get();
      stop_ = stop.fulfiller.get();
      started_ = true;
    }
    changed_.notify_all();
    client->onDisconnect()
        .exclusiveJoin(kj::mv(stop.promise))
        .catch_([](kj::Exception&& exception) { LogFailure(exception); })
        .wait(io.waitScope);
    closed_.store(true);
    // Calls that other threads have queued still run after the connection has ended. If they used
    // the destroyed connection, the process would crash.
    client_ = nullptr;
    client = nullptr;
    FinishCalls(&io);
  } catch (const kj::Exception& exception) {
    closed_.store(true);
    LogFailure(exception);
  }
  std::function<void()> callback;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ended_ = true;
    callback = std::move(on_closed_);
  }
  changed_.notify_all();
  if (callback) callback();
}

void Session::EnterCall() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!started_ || ending_ || ended_) {
    throw Error(ErrorKind::kConnectionLost, "the session has ended");
  }
  ++calls_;
}

void Session::LeaveCall() {
  const std::lock_guard<std::mutex> lock(mutex_);
  --calls_;
}

void Session::FinishCalls(kj::AsyncIoContext* io) {
  while (true) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      ending_ = true;
      if (calls_ == 0) break;
    }
    io->provider->getTimer().afterDelay(kFinishCallsInterval).wait(io->waitScope);
  }
  // Destroying the connection queues events for promises that still wait for it. If the loop were
  // destroyed with events in its queue, they would leak, and a session failure would be logged.
  io->waitScope.poll();
}

capnp::Capability::Client Session::Bootstrap() {
  if (client_ == nullptr) {
    kj::throwFatalException(KJ_EXCEPTION(DISCONNECTED, "the connection has just ended"));
  }
  return client_->bootstrap();
}

void Session::Close() {
  if (closed_.exchange(true)) return;
  try {
    const CallGuard call_guard(this);
    executor_->executeSync([this] { stop_->fulfill(); });
  } catch (const Error&) {
    // The connection has already ended by itself.
  }
}

void Session::WaitClosed() {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait(lock, [this] { return ended_; });
}

void Session::OnClosed(std::function<void()> callback) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!ended_) {
      on_closed_ = std::move(callback);
      return;
    }
  }
  callback();
}

}  // namespace turmericshift
