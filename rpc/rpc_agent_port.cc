#include "rpc/rpc_agent_port.h"

#include <utility>

#include "core/result.h"
#include "rpc/convert.h"

namespace turmericshift {
namespace {

constexpr Duration kCancelTimeout = std::chrono::seconds(1);
// How long after the caller's deadline the agent's own report of it may still arrive.
constexpr Duration kServeGrace = std::chrono::milliseconds(500);

// Sends and reads what comes back by `read`. The library would turn an Error thrown inside a
// promise into an exception of its own, so it crosses as an Result.
template <typename Value, typename Request, typename ReadAnswer>
kj::Promise<Result<Value>> Send(Request&& request, ReadAnswer read) {
  return request.send().then([read](auto&& response) {
    return ResultOf<Value>([&] {
      ThrowIfFailed(response.getFailure());
      return read(response);
    });
  });
}

// For calls whose answer is only whether they failed.
template <typename Request>
kj::Promise<Result<bool>> SendForVerdict(Request&& request) {
  return Send<bool>(request, [](auto&&) { return true; });
}

}  // namespace

RpcAgentPort::RpcAgentPort(std::shared_ptr<Session> session, wire::Agent::Client client)
    : session_(std::move(session)),
      client_(std::make_unique<wire::Agent::Client>(kj::mv(client))) {}

RpcAgentPort::~RpcAgentPort() { session_->Release(std::move(client_)); }

ServiceAnswer RpcAgentPort::Serve(const ServiceRequest& request) {
  return session_
      ->Call(
          [&] {
            auto call = client_->serveRequest();
            Write(request, call.initRequest());
            return Send<ServiceAnswer>(call,
                                       [](auto&& answer) { return Read(answer.getAnswer()); });
          },
          request.time_left + kServeGrace)
      .Take();
}

void RpcAgentPort::Cancel(const std::string& request_id) {
  session_->Call(
      [&]() -> kj::Promise<bool> {
        auto call = client_->cancelRequest();
        call.setRequestId(request_id);
        return call.send().then([](auto&&) { return true; });
      },
      kCancelTimeout);
}

SeenAnswer RpcAgentPort::Resolve(const SeenQuestion& question, Duration timeout) {
  return session_
      ->Call(
          [&] {
            auto call = client_->resolveRequest();
            Write(question, call.initQuestion());
            return Send<SeenAnswer>(call, [](auto&& answer) { return Read(answer.getAnswer()); });
          },
          timeout)
      .Take();
}

void RpcAgentPort::Reserve(const GangReserve& reserve, Duration timeout) {
  session_
      ->Call(
          [&] {
            auto call = client_->reserveRequest();
            Write(reserve, call.initReserve());
            return SendForVerdict(call);
          },
          timeout)
      .Take();
}

void RpcAgentPort::Start(const GangStart& start, Duration timeout) {
  session_
      ->Call(
          [&] {
            auto call = client_->startRequest();
            Write(start, call.initStart());
            return SendForVerdict(call);
          },
          timeout)
      .Take();
}

void RpcAgentPort::Release(const GangAction& action, Duration timeout) {
  session_
      ->Call(
          [&] {
            auto call = client_->releaseRequest();
            Write(action, call.initAction());
            return SendForVerdict(call);
          },
          timeout)
      .Take();
}

void RpcAgentPort::Renew(const GangAction& action, Duration timeout) {
  session_
      ->Call(
          [&] {
            auto call = client_->renewRequest();
            Write(action, call.initAction());
            return SendForVerdict(call);
          },
          timeout)
      .Take();
}

void RpcAgentPort::Stop(const GangAction& action, Duration timeout) {
  session_
      ->Call(
          [&] {
            auto call = client_->stopRequest();
            Write(action, call.initAction());
            return SendForVerdict(call);
          },
          timeout)
      .Take();
}

void RpcAgentPort::Forget(const GangAction& action, Duration timeout) {
  session_
      ->Call(
          [&] {
            auto call = client_->forgetRequest();
            Write(action, call.initAction());
            return SendForVerdict(call);
          },
          timeout)
      .Take();
}

}  // namespace turmericshift
