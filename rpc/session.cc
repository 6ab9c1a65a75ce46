#include "rpc/session.h"

#include <kj/debug.h>
#include <kj/io.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

#include "core/logging.h"
#include "core/thread.h"
#include "rpc/admission_stream.h"

namespace turmericshift {
namespace {

constexpr size_t kSessionStackBytes = size_t{256} * 1024;
// How often FinishCalls checks for calls in flight. They fail within a few turns of the loop once
// the connection has ended.
constexpr Duration kFinishCallsInterval = std::chrono::milliseconds(1);

// Runs `body` and logs the exception that it throws, of whatever type.
template <typename Body>
void LogExceptions(Body&& body) {
  KJ_IF_MAYBE (exception, kj::runCatchingExceptions(body)) {
    LogEvent(LogLevel::kWarning, "session_failed", {{"error", exception->getDescription().cStr()}});
  }
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
  KJ_DEFER(SignalEnded());
  kj::AutoCloseFd socket(fd);
  LogExceptions([&] {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    LogExceptions([&] { Serve(&io, kj::mv(socket), side, make_bootstrap); });
    // Whatever ended the connection, the loop must outlive the calls. Not in a destructor: while an
    // exception unwinds the stack, the library logs its exceptions instead of throwing them, and
    // calls would not fail.
    FinishCalls(&io);
  });
}

void Session::Serve(kj::AsyncIoContext* io, kj::AutoCloseFd fd, Side side,
                    const MakeBootstrap& make_bootstrap) {
  auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stop_ = kj::mv(stop.fulfiller);
  }
  auto socket = io->lowLevelProvider->wrapSocketFd(kj::mv(fd));
  // The connecting side chose its peer, so it does not limit what the peer sends.
  if (side == Side::kConnecting) Admit();
  AdmissionStream stream(socket.get(), &admitted_);
  kj::Maybe<capnp::Capability::Client> bootstrap;
  if (make_bootstrap) bootstrap = make_bootstrap(this);
  const auto wire_side = side == Side::kConnecting ? capnp::rpc::twoparty::Side::CLIENT
                                                   : capnp::rpc::twoparty::Side::SERVER;
  kj::Own<capnp::TwoPartyClient> client;
  KJ_IF_MAYBE (capability, bootstrap) {
    client = kj::heap<capnp::TwoPartyClient>(stream, kj::mv(*capability), wire_side);
  } else {
    client = kj::heap<capnp::TwoPartyClient>(stream);
  }
  // Calls that other threads have queued still run after the connection has ended. If they used
  // the destroyed connection, the process would crash.
  KJ_DEFER(client_ = nullptr);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    executor_ = kj::getCurrentThreadExecutor().addRef();
    timer_ = &io->provider->getTimer();
    client_ = client.get();
    started_ = true;
  }
  changed_.notify_all();
  client->onDisconnect().exclusiveJoin(kj::mv(stop.promise)).wait(io->waitScope);
}

void Session::SignalEnded() {
  closed_.store(true);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ended_ = true;
  }
  changed_.notify_all();
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
  if (--calls_ == 0) changed_.notify_all();
}

void Session::FinishCalls(kj::AsyncIoContext* io) {
  std::unique_lock<std::mutex> lock(mutex_);
  ending_ = true;
  do {
    const std::vector<std::function<void()>> released = std::exchange(released_, {});
    lock.unlock();
    for (const auto& destroy : released) LogExceptions(destroy);
    // Also runs the events that the destruction of the connection has queued. If the loop were
    // destroyed with events in its queue, they would leak.
    io->waitScope.poll();
    lock.lock();
  } while (!changed_.wait_for(lock, kFinishCallsInterval, [this] { return calls_ == 0; }));
}

capnp::Capability::Client Session::Bootstrap() {
  if (client_ == nullptr) {
    kj::throwFatalException(KJ_EXCEPTION(DISCONNECTED, "the connection has just ended"));
  }
  return client_->bootstrap();
}

void Session::Close() {
  closed_.store(true);
  const std::lock_guard<std::mutex> lock(mutex_);
  if (stop_.get() != nullptr) stop_->fulfill();
}

void Session::WaitClosed() {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait(lock, [this] { return ended_; });
}

}  // namespace turmericshift
