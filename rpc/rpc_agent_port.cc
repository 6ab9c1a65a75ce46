#include "rpc/rpc_agent_port.h"

#include <utility>

#include "core/result.h"
#include "rpc/convert.h"
#include "rpc/text.h"

namespace turmericshift {
namespace {

constexpr Duration kCancelTimeout = std::chrono::seconds(1);
// Time after the caller's deadline in which the agent's own deadline error may still arrive.
constexpr Duration kServeGracePeriod = std::chrono::milliseconds(500);

// Sends `request` and converts the response with `read`. Errors are returned as a Result, because
// the library would turn an Error thrown inside a promise into a kj::Exception.
template <typename Value, typename Request, typename ReadAnswer>
kj::Promise<Result<Value>> Send(Request&& request, ReadAnswer read) {
  return request.send().then([read](auto&& response) {
    return ResultOf<Value>([&] {
      ThrowIfFailed(response.getFailure());
      return read(response);
    });
  });
}

// Like Send, for calls whose response only says whether they failed.
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
          request.time_left + kServeGracePeriod)
      .Take();
}

void RpcAgentPort::Cancel(const std::string& request_id) {
  session_->Call(
      [&]() -> kj::Promise<bool> {
        auto call = client_->cancelRequest();
        call.setRequestId(AsText(request_id));
        return call.send().then([](auto&&) { return true; });
      },
      kCancelTimeout);
}

RequestStatusReply RpcAgentPort::Resolve(const RequestStatusQuery& question, Duration timeout) {
  return session_
      ->Call(
          [&] {
            auto call = client_->resolveRequest();
            Write(question, call.initQuestion());
            return Send<RequestStatusReply>(call,
                                            [](auto&& answer) { return Read(answer.getAnswer()); });
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
