#include "rpc/pool_session.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/io.h>

#include <utility>

#include "core/error.h"
#include "core/listen_socket.h"
#include "core/logging.h"
#include "rpc/convert.h"
#include "rpc/planner_relay.h"
#include "rpc/pool_convert.h"
#include "rpc/rpc_entry_connector.h"
#include "rpc/sockets.h"
#include "rpc/text.h"
#include "servers/pool/job_records.h"

namespace turmericshift {
namespace {

constexpr size_t kLoopStackBytes = size_t{512} * 1024;
// Time between a failed accept and the next.
constexpr kj::Duration kAcceptRetryDelay = 100 * kj::MILLISECONDS;

// Fulfils a promise from any thread; may be called once. The fulfiller is shared, because
// std::function must be copyable.
template <typename Value>
class ResultCallback {
 public:
  explicit ResultCallback(kj::Own<kj::CrossThreadPromiseFulfiller<Result<Value>>> fulfiller)
      : fulfiller_(std::make_shared<kj::Own<kj::CrossThreadPromiseFulfiller<Result<Value>>>>(
            kj::mv(fulfiller))) {}

  void operator()(Result<Value> result) const { (*fulfiller_)->fulfill(std::move(result)); }

 private:
  std::shared_ptr<kj::Own<kj::CrossThreadPromiseFulfiller<Result<Value>>>> fulfiller_;
};

class PoolGateService final : public wire::PoolGate::Server {
 public:
  PoolGateService(pool::PlannerGate* gate, PlannerRelay* relay) : gate_(gate), relay_(relay) {}

  kj::Promise<void> planner(PlannerContext context) override {
    pool::PlannerRecord known = gate_->KnownPlanner();
    auto params = context.getParams();
    if (known.epoch < params.getEpoch()) known = {params.getEpoch(), "", params.getAddress()};
    if (known.address.empty()) {
      const Error error(ErrorKind::kUnavailable, Outcome::kNotRun, "no such planner is known here");
      Write(error, context.getResults().initFailure());
      return kj::READY_NOW;
    }
    return relay_->GateAt(known.address).then([context](wire::PoolGate::Client&& gate) mutable {
      context.getResults().setGate(kj::mv(gate));
    });
  }

  kj::Promise<void> knownPlanner(KnownPlannerContext context) override {
    const pool::PlannerRecord known = gate_->KnownPlanner();
    auto results = context.getResults();
    results.setEpoch(known.epoch);
    results.setNode(AsText(known.node));
    results.setAddress(AsText(known.address));
    return kj::READY_NOW;
  }

  kj::Promise<void> exchange(ExchangeContext context) override {
    auto pair = kj::newPromiseAndCrossThreadFulfiller<Result<pool::AgentOrders>>();
    const ResultCallback<pool::AgentOrders> done(kj::mv(pair.fulfiller));
    try {
      gate_->Exchange(Read(context.getParams().getReport()), done);
    } catch (const Error& error) {
      Write(error, context.getResults().initFailure());
      return kj::READY_NOW;
    }
    return pair.promise.then([context](Result<pool::AgentOrders>&& result) mutable {
      auto results = context.getResults();
      if (result.error) return Write(*result.error, results.initFailure());
      Write(*result.value, results.initOrders());
    });
  }

  kj::Promise<void> submit(SubmitContext context) override {
    auto pair = kj::newPromiseAndCrossThreadFulfiller<Result<pool::Done>>();
    const ResultCallback<pool::Done> done(kj::mv(pair.fulfiller));
    try {
      auto params = context.getParams();
      gate_->Submit(pool::DecodeSpec(Text(params.getId()), Text(params.getSpec())), done);
    } catch (const Error& error) {
      Write(error, context.getResults().initFailure());
      return kj::READY_NOW;
    }
    return pair.promise.then([context](Result<pool::Done>&& result) mutable {
      if (result.error) Write(*result.error, context.getResults().initFailure());
    });
  }

  kj::Promise<void> cancel(CancelContext context) override {
    auto pair = kj::newPromiseAndCrossThreadFulfiller<Result<pool::Done>>();
    gate_->Cancel(Text(context.getParams().getId()),
                  ResultCallback<pool::Done>(kj::mv(pair.fulfiller)));
    return pair.promise.then([context](Result<pool::Done>&& result) mutable {
      if (result.error) Write(*result.error, context.getResults().initFailure());
    });
  }

  kj::Promise<void> offer(OfferContext context) override {
    auto pair = kj::newPromiseAndCrossThreadFulfiller<Result<pool::Done>>();
    gate_->Offer(ResultCallback<pool::Done>(kj::mv(pair.fulfiller)));
    return pair.promise.then([context](Result<pool::Done>&& result) mutable {
      if (result.error) Write(*result.error, context.getResults().initFailure());
    });
  }

  kj::Promise<void> takeOver(TakeOverContext context) override {
    auto pair = kj::newPromiseAndCrossThreadFulfiller<Result<pool::Done>>();
    auto params = context.getParams();
    gate_->TakeOver({params.getEpoch(), Text(params.getNode()), Text(params.getAddress())},
                    ResultCallback<pool::Done>(kj::mv(pair.fulfiller)));
    return pair.promise.then([context](Result<pool::Done>&& result) mutable {
      if (result.error) Write(*result.error, context.getResults().initFailure());
    });
  }

  kj::Promise<void> yield(YieldContext context) override {
    auto pair = kj::newPromiseAndCrossThreadFulfiller<Result<pool::Done>>();
    auto params = context.getParams();
    gate_->Yield({params.getEpoch(), Text(params.getNode()), Text(params.getAddress())},
                 ResultCallback<pool::Done>(kj::mv(pair.fulfiller)));
    return pair.promise.then([context](Result<pool::Done>&& result) mutable {
      if (result.error) Write(*result.error, context.getResults().initFailure());
    });
  }

 private:
  pool::PlannerGate* const gate_;
  PlannerRelay* const relay_;
};

class RpcPlannerClient final : public pool::PlannerClient {
 public:
  // If `relayed` is set, the session leads to an entry that relays calls to this planner or a newer
  // one; otherwise it leads to the planner itself.
  RpcPlannerClient(std::shared_ptr<Session> session, std::optional<pool::PlannerRecord> relayed)
      : session_(std::move(session)), relayed_(std::move(relayed)) {}
  ~RpcPlannerClient() override { session_->Close(); }

  void Close() override { session_->Close(); }
  bool relayed() const override { return relayed_.has_value(); }

  // Throws Error if the relaying entry can't reach the planner.
  void CheckRelay(Duration timeout) {
    session_
        ->Call(
            [&] {
              return MakePlannerRequest().send().then(
                  [](auto&& response) { return DoneOf(response); });
            },
            timeout)
        .Take();
  }

  pool::AgentOrders Exchange(const pool::AgentReport& report, Duration timeout) override {
    return session_
        ->Call(
            [&] {
              auto call = Gate().exchangeRequest();
              Write(report, call.initReport());
              return call.send().then([](auto&& response) {
                return ResultOf<pool::AgentOrders>([&] {
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
              call.setId(AsText(spec.id));
              call.setSpec(AsText(bytes));
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
              call.setId(AsText(id));
              return call.send().then([](auto&& response) { return DoneOf(response); });
            },
            timeout)
        .Take();
  }

  void Offer(Duration timeout) override {
    session_
        ->Call(
            [&] {
              return Gate().offerRequest().send().then(
                  [](auto&& response) { return DoneOf(response); });
            },
            timeout)
        .Take();
  }

  pool::PlannerRecord KnownPlanner(Duration timeout) override {
    return session_
        ->Call(
            [&] {
              return Gate().knownPlannerRequest().send().then([](auto&& response) {
                return ResultOf<pool::PlannerRecord>([&] {
                  return pool::PlannerRecord{response.getEpoch(), Text(response.getNode()),
                                             Text(response.getAddress())};
                });
              });
            },
            timeout)
        .Take();
  }

  void TakeOver(const pool::PlannerRecord& planner, Duration timeout) override {
    session_
        ->Call(
            [&] {
              auto call = Gate().takeOverRequest();
              call.setEpoch(planner.epoch);
              call.setNode(AsText(planner.node));
              call.setAddress(AsText(planner.address));
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
              call.setNode(AsText(successor.node));
              call.setAddress(AsText(successor.address));
              return call.send().then([](auto&& response) { return DoneOf(response); });
            },
            timeout)
        .Take();
  }

 private:
  capnp::Request<wire::PoolGate::PlannerParams, wire::PoolGate::PlannerResults>
  MakePlannerRequest() {
    auto request = session_->Bootstrap().castAs<wire::PoolGate>().plannerRequest();
    request.setEpoch(relayed_->epoch);
    request.setAddress(AsText(relayed_->address));
    return request;
  }

  // The relayed gate is used before the response with it has arrived (promise pipelining), so that
  // a relayed call costs no extra round trip.
  wire::PoolGate::Client Gate() {
    if (relayed_) return MakePlannerRequest().send().getGate();
    return session_->Bootstrap().castAs<wire::PoolGate>();
  }

  template <typename Response>
  static Result<pool::Done> DoneOf(Response& response) {
    return ResultOf<pool::Done>([&] {
      ThrowIfFailed(response.getFailure());
      return pool::Done{};
    });
  }

  const std::shared_ptr<Session> session_;
  const std::optional<pool::PlannerRecord> relayed_;
};

}  // namespace

// Accepts connections as long as the listener exists. It continues after a failed accept; otherwise
// agents could no longer reach this planner although it is still the active one.
class PoolListener::Acceptor {
 public:
  Acceptor(kj::ConnectionReceiver* receiver, capnp::TwoPartyServer* server, kj::Timer* timer,
           std::atomic<int64_t>* failures)
      : receiver_(receiver), server_(server), timer_(timer), failures_(failures) {}

  kj::Promise<void> Run() {
    return receiver_->accept()
        .then([this](kj::Own<kj::AsyncIoStream>&& stream) { Take(kj::mv(stream)); })
        .then([this] { return Run(); },
              [this](kj::Exception&& exception) {
                NoteFailure(exception);
                return timer_->afterDelay(kAcceptRetryDelay).then([this] { return Run(); });
              });
  }

 private:
  void Take(kj::Own<kj::AsyncIoStream> stream) {
    failing_ = false;
    int fd = -1;
    KJ_IF_MAYBE (descriptor, stream->getFd()) fd = *descriptor;
    if (fd >= 0) EnableDeadPeerDetection(fd);
    server_->accept(kj::mv(stream));
  }

  void NoteFailure(const kj::Exception& exception) {
    failures_->fetch_add(1);
    // Logs only the first of consecutive failures.
    if (!failing_) {
      LogEvent(LogLevel::kWarning, "accept_failed", {{"error", exception.getDescription().cStr()}});
    }
    failing_ = true;
  }

  kj::ConnectionReceiver* const receiver_;
  capnp::TwoPartyServer* const server_;
  kj::Timer* const timer_;
  std::atomic<int64_t>* const failures_;
  bool failing_ = false;
};

PoolListener::PoolListener(const PoolListenerOptions& options, pool::PlannerGate* gate) {
  kj::AutoCloseFd listener(ListenSocket(options.address, options.port));
  port_ = BoundPort(listener);
  thread_ = Thread(
      ThreadRole::kEssential, "pool-sessions",
      [this, fd = listener.get(), gate] { Serve(fd, gate); }, kLoopStackBytes);
  // The thread closes it.
  listener.release();
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait(lock, [this] { return started_; });
  if (!stop_) throw Error(ErrorKind::kUnavailable, "sessions can't be served");
}

PoolListener::~PoolListener() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (stop_) (*stop_)->fulfill();
}

void PoolListener::Serve(int listener, pool::PlannerGate* gate) {
  KJ_DEFER(SignalStarted({}));
  kj::AutoCloseFd socket(listener);
  const auto log_end = [](const kj::Exception& exception) {
    LogEvent(LogLevel::kError, "sessions_ended", {{"error", exception.getDescription().cStr()}});
  };
  const auto serve = [&] {
    kj::AsyncIoContext io = kj::setupAsyncIo();
    auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
    auto receiver = io.lowLevelProvider->wrapListenSocketFd(
        kj::mv(socket), kj::LowLevelAsyncIoProvider::NetworkFilter::getAllAllowed());
    // Peer addresses are not filtered: the platform allows only the system's VMs to connect.
    PlannerRelay relay(io.lowLevelProvider.get());
    capnp::TwoPartyServer server(kj::heap<PoolGateService>(gate, &relay));
    Acceptor acceptor(receiver.get(), &server, &io.provider->getTimer(), &accept_failures_);
    auto served = acceptor.Run().eagerlyEvaluate(log_end);
    SignalStarted(kj::mv(stop.fulfiller));
    stop.promise.wait(io.waitScope);
  };
  KJ_IF_MAYBE (exception, kj::runCatchingExceptions(serve)) log_end(*exception);
}

void PoolListener::SignalStarted(kj::Own<kj::CrossThreadPromiseFulfiller<void>> stop) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stop.get() != nullptr) stop_ = kj::mv(stop);
    started_ = true;
  }
  changed_.notify_all();
}

namespace {

std::shared_ptr<Session> OpenSession(const std::string& address, Duration limit) {
  const PeerAddress peer = ParsePeerAddress(address);
  const auto limit_ms = duration_cast<std::chrono::milliseconds>(limit).count();
  const int fd = ConnectSocket(peer.ip, peer.port, static_cast<int>(limit_ms));
  EnableDeadPeerDetection(fd);
  return Session::Open(fd, Session::Side::kConnecting, "planner-session", nullptr);
}

}  // namespace

std::shared_ptr<pool::PlannerClient> RpcPlannerConnector::Connect(const std::string& address,
                                                                  Duration limit) {
  return std::make_shared<RpcPlannerClient>(OpenSession(address, limit), std::nullopt);
}

std::shared_ptr<pool::PlannerClient> RpcPlannerConnector::ConnectThrough(
    const std::string& relay, const pool::PlannerRecord& planner, Duration limit) {
  auto port = std::make_shared<RpcPlannerClient>(OpenSession(relay, limit), planner);
  port->CheckRelay(limit);
  return port;
}

}  // namespace turmericshift
