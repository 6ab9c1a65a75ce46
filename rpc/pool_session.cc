#include "rpc/pool_session.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/io.h>

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

constexpr size_t kLoopStackBytes = size_t{512} * 1024;

// A promise that any thread may keep, once; shared, since std::function wants to be copied.
template <typename Value>
class Answer {
 public:
  explicit Answer(kj::Own<kj::CrossThreadPromiseFulfiller<Attempt<Value>>> fulfiller)
      : fulfiller_(std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<Attempt<Value>>>>(
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

  kj::Promise<void> yield(YieldContext context) override {
    auto pair = kj::newPromiseAndCrossThreadFulfiller<Attempt<pool::Done>>();
    auto params = context.getParams();
    gate_->Yield({params.getEpoch(), params.getNode().cStr(), params.getAddress().cStr()},
                 Answer<pool::Done>(kj::mv(pair.fulfiller)));
    return pair.promise.then([context](Attempt<pool::Done>&& attempt) mutable {
      if (attempt.error) Write(*attempt.error, context.getResults().initFailure());
    });
  }

 private:
  pool::PlannerGate* const gate_;
};

kj::Promise<void> AcceptAll(kj::ConnectionReceiver* receiver, capnp::TwoPartyServer* server) {
  return receiver->accept().then([receiver, server](kj::Own<kj::AsyncIoStream> stream) {
    int fd = -1;
    KJ_IF_MAYBE (descriptor, stream->getFd()) fd = *descriptor;
    if (fd >= 0) LimitSilence(fd);
    server->accept(kj::mv(stream));
    return AcceptAll(receiver, server);
  });
}

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

  void Yield(const pool::PlannerRecord& successor, Duration timeout) override {
    session_
        ->Call(
            [&] {
              auto call = Gate().yieldRequest();
              call.setEpoch(successor.epoch);
              call.setNode(successor.node);
              call.setAddress(successor.address);
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

PoolListener::PoolListener(const PoolListenerOptions& options, pool::PlannerGate* gate) {
  const int listener = ListenSocket(options.address, options.port);
  port_ = BoundPort(listener);
  thread_ = Thread(
      "pool-sessions", [this, listener, gate] { Serve(listener, gate); }, kLoopStackBytes);
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait(lock, [this] { return served_; });
}

PoolListener::~PoolListener() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (stop_) (*stop_)->fulfill();
}

void PoolListener::Serve(int listener, pool::PlannerGate* gate) {
  kj::AsyncIoContext io = kj::setupAsyncIo();
  auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stop_ = kj::mv(stop.fulfiller);
    served_ = true;
  }
  changed_.notify_all();
  try {
    auto receiver = io.lowLevelProvider->wrapListenSocketFd(
        kj::AutoCloseFd(listener), kj::LowLevelAsyncIoProvider::NetworkFilter::getAllAllowed());
    // Only VMs of the system reach these ports; the platform keeps them closed to all others.
    capnp::TwoPartyServer server(kj::heap<PoolGateService>(gate));
    auto served = AcceptAll(receiver.get(), &server).eagerlyEvaluate([](kj::Exception&& exception) {
      LogEvent(LogLevel::kError, "sessions_ended", {{"error", exception.getDescription().cStr()}});
    });
    stop.promise.wait(io.waitScope);
  } catch (const kj::Exception& exception) {
    LogEvent(LogLevel::kError, "sessions_ended", {{"error", exception.getDescription().cStr()}});
  }
}

std::shared_ptr<pool::PlannerPort> RpcPlannerConnector::Connect(const std::string& address,
                                                                Duration limit) {
  const PeerAddress peer = ParsePeerAddress(address);
  const auto limit_ms = duration_cast<std::chrono::milliseconds>(limit).count();
  const int fd = ConnectSocket(peer.ip, peer.port, static_cast<int>(limit_ms));
  LimitSilence(fd);
  return std::make_shared<RpcPlannerPort>(
      Session::Open(fd, Session::Side::kConnecting, "planner-session", nullptr));
}

}  // namespace turmericshift
