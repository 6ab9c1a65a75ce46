#include "rpc/pool_session.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

#include "core/error.h"
#include "core/logging.h"
#include "rpc/convert.h"
#include "rpc/pool_convert.h"
#include "rpc/rpc_entry_connector.h"
#include "rpc/sockets.h"
#include "servers/pool/job_records.h"

namespace turmericshift {
namespace {

constexpr int kPollMillis = 200;
// A peer in another zone answers a connect within milliseconds.
constexpr int kConnectMillis = 700;

// A promise that any thread may keep, once; shared, since std::function wants to be copied.
template <typename Value>
class Answer {
 public:
  explicit Answer(kj::Own<kj::CrossThreadPromiseFulfiller<Attempt<Value>>> fulfiller)
      : fulfiller_(
            std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<Attempt<Value>>>>(
                kj::mv(fulfiller))) {}

  void operator()(Attempt<Value> attempt) const { (*fulfiller_)->fulfill(std::move(attempt)); }

 private:
  std::shared_ptr<kj::Own<kj::CrossThreadPromiseFulfiller<Attempt<Value>>>> fulfiller_;
};

class PoolGateService final : public wire::PoolGate::Server {
 public:
  explicit PoolGateService(pool::PlannerGate* gate) : gate_(gate) {}

  kj::Promise<void> exchange(ExchangeContext context) override {
    auto pair = kj::newPromiseAndCrossThreadFulfiller<Attempt<pool::AgentOrders>>();
    const Answer<pool::AgentOrders> answer(kj::mv(pair.fulfiller));
    try {
      gate_->Exchange(Read(context.getParams().getReport()), answer);
    } catch (const Error& error) {
      Write(error, context.getResults().initFailure());
      return kj::READY_NOW;
    }
    return pair.promise.then([context](Attempt<pool::AgentOrders>&& attempt) mutable {
      auto results = context.getResults();
      if (attempt.error) return Write(*attempt.error, results.initFailure());
      Write(*attempt.value, results.initOrders());
    });
  }

  kj::Promise<void> submit(SubmitContext context) override {
    auto pair = kj::newPromiseAndCrossThreadFulfiller<Attempt<pool::Done>>();
    const Answer<pool::Done> answer(kj::mv(pair.fulfiller));
    try {
      auto params = context.getParams();
      gate_->Submit(pool::DecodeSpec(params.getId().cStr(), params.getSpec().cStr()), answer);
    } catch (const Error& error) {
      Write(error, context.getResults().initFailure());
      return kj::READY_NOW;
    }
    return pair.promise.then([context](Attempt<pool::Done>&& attempt) mutable {
      if (attempt.error) Write(*attempt.error, context.getResults().initFailure());
    });
  }

  kj::Promise<void> cancel(CancelContext context) override {
    auto pair = kj::newPromiseAndCrossThreadFulfiller<Attempt<pool::Done>>();
    gate_->Cancel(context.getParams().getId().cStr(), Answer<pool::Done>(kj::mv(pair.fulfiller)));
    return pair.promise.then([context](Attempt<pool::Done>&& attempt) mutable {
      if (attempt.error) Write(*attempt.error, context.getResults().initFailure());
    });
  }

 private:
  pool::PlannerGate* const gate_;
};

class RpcPlannerPort final : public pool::PlannerPort {
 public:
  explicit RpcPlannerPort(std::shared_ptr<Session> session) : session_(std::move(session)) {}
  ~RpcPlannerPort() override { session_->Close(); }

  pool::AgentOrders Exchange(const pool::AgentReport& report, Duration timeout) override {
    return session_
        ->Call(
            [&] {
              auto call = Gate().exchangeRequest();
              Write(report, call.initReport());
              return call.send().then([](auto&& response) {
                return AttemptOf<pool::AgentOrders>([&] {
                  ThrowIfFailed(response.getFailure());
                  return Read(response.getOrders());
                });
              });
            },
            timeout)
        .Take();
  }

  void Submit(const pool::JobSpec& spec, Duration timeout) override {
    const std::string bytes = pool::EncodeSpec(spec);
    session_
        ->Call(
            [&] {
              auto call = Gate().submitRequest();
              call.setId(spec.id);
              call.setSpec(bytes);
              return call.send().then([](auto&& response) { return DoneOf(response); });
            },
            timeout)
        .Take();
  }

  void Cancel(const std::string& id, Duration timeout) override {
    session_
        ->Call(
            [&] {
              auto call = Gate().cancelRequest();
              call.setId(id);
              return call.send().then([](auto&& response) { return DoneOf(response); });
            },
            timeout)
        .Take();
  }

 private:
  wire::PoolGate::Client Gate() { return session_->Bootstrap().castAs<wire::PoolGate>(); }

  template <typename Response>
  static Attempt<pool::Done> DoneOf(Response& response) {
    return AttemptOf<pool::Done>([&] {
      ThrowIfFailed(response.getFailure());
      return pool::Done{};
    });
  }

  const std::shared_ptr<Session> session_;
};

}  // namespace

PoolListener::PoolListener(const PoolListenerOptions& options, pool::PlannerGate* gate)
    : options_(options), gate_(gate) {
  listener_ = ListenSocket(options.address, options.port);
  port_ = BoundPort(listener_);
  thread_ = Thread("pool-accept", [this] { Accept(); });
}

PoolListener::~PoolListener() {
  stopping_.store(true);
  thread_.Join();
  close(listener_);
  std::vector<std::weak_ptr<Session>> sessions;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    sessions.swap(sessions_);
  }
  for (const auto& each : sessions) {
    if (const auto session = each.lock()) {
      session->Close();
      session->WaitClosed();
    }
  }
}

void PoolListener::Accept() {
  while (!stopping_.load()) {
    pollfd waiting{listener_, POLLIN, 0};
    if (poll(&waiting, 1, kPollMillis) <= 0) continue;
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd >= 0) Open(fd);
  }
}

void PoolListener::Open(int fd) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::erase_if(sessions_, [](const auto& each) { return each.expired(); });
  if (static_cast<int>(sessions_.size()) >= options_.max_sessions) {
    LogEvent(LogLevel::kWarning, "session_refused", {{"reason", "too many sessions"}});
    close(fd);
    return;
  }
  LimitSilence(fd);
  const auto make_gate = [this](Session* session) -> capnp::Capability::Client {
    // Only VMs of the system reach these ports; the platform keeps them closed to all others.
    session->Admit();
    return kj::heap<PoolGateService>(gate_);
  };
  sessions_.push_back(Session::Open(fd, Session::Side::kAccepting, "pool-session", make_gate));
}

std::shared_ptr<pool::PlannerPort> RpcPlannerConnector::Connect(const std::string& address) {
  const PeerAddress peer = ParsePeerAddress(address);
  const int fd = ConnectSocket(peer.ip, peer.port, kConnectMillis);
  LimitSilence(fd);
  return std::make_shared<RpcPlannerPort>(
      Session::Open(fd, Session::Side::kConnecting, "planner-session", nullptr));
}

}  // namespace turmericshift
