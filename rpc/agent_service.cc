#include "rpc/agent_service.h"

#include "rpc/convert.h"
#include "rpc/offload.h"
#include "rpc/text.h"

namespace turmericshift {
namespace {

// Time limit of a control call inside the agent.
constexpr Duration kStepTimeout = std::chrono::seconds(5);

class AgentService final : public wire::Agent::Server {
 public:
  AgentService(AgentPort* agent, AgentPools* pools) : agent_(agent), pools_(pools) {}

  kj::Promise<void> serve(ServeContext context) override {
    auto request = std::make_shared<ServiceRequest>(Read(context.getParams().getRequest()));
    context.releaseParams();
    AgentPort* agent = agent_;
    return Offload<ServiceAnswer>(&pools_->requests,
                                  [agent, request] { return agent->Serve(*request); })
        .then([context](Result<ServiceAnswer> result) mutable {
          auto results = context.getResults();
          if (result.error) return Write(*result.error, results.initFailure());
          Write(*result.value, results.initAnswer());
        });
  }

  kj::Promise<void> cancel(CancelContext context) override {
    const std::string id = Text(context.getParams().getRequestId());
    AgentPort* agent = agent_;
    return Offload<bool>(&pools_->control,
                         [agent, id] {
                           agent->Cancel(id);
                           return true;
                         })
        .ignoreResult();
  }

  kj::Promise<void> resolve(ResolveContext context) override {
    const RequestStatusQuery question = Read(context.getParams().getQuestion());
    AgentPort* agent = agent_;
    return Offload<RequestStatusReply>(
               &pools_->control,
               [agent, question] { return agent->Resolve(question, kStepTimeout); })
        .then([context](Result<RequestStatusReply> result) mutable {
          auto results = context.getResults();
          if (result.error) return Write(*result.error, results.initFailure());
          Write(*result.value, results.initAnswer());
        });
  }

  kj::Promise<void> reserve(ReserveContext context) override {
    const GangReserve step = Read(context.getParams().getReserve());
    AgentPort* agent = agent_;
    return Step(context, [agent, step] { agent->Reserve(step, kStepTimeout); });
  }

  kj::Promise<void> start(StartContext context) override {
    const GangStart step = Read(context.getParams().getStart());
    AgentPort* agent = agent_;
    return Step(context, [agent, step] { agent->Start(step, kStepTimeout); });
  }

  kj::Promise<void> release(ReleaseContext context) override {
    return Act(context, &AgentPort::Release);
  }
  kj::Promise<void> renew(RenewContext context) override { return Act(context, &AgentPort::Renew); }
  kj::Promise<void> stop(StopContext context) override { return Act(context, &AgentPort::Stop); }
  kj::Promise<void> forget(ForgetContext context) override {
    return Act(context, &AgentPort::Forget);
  }

 private:
  // Runs `step` on the control pool. The response holds only a failure, if there was one.
  template <typename Context>
  kj::Promise<void> Step(Context context, std::function<void()> step) {
    return Offload<bool>(&pools_->control,
                         [step = std::move(step)] {
                           step();
                           return true;
                         })
        .then([context](Result<bool> result) mutable {
          if (result.error) Write(*result.error, context.getResults().initFailure());
        });
  }

  template <typename Context>
  kj::Promise<void> Act(Context context, void (AgentPort::*call)(const GangAction&, Duration)) {
    const GangAction action = Read(context.getParams().getAction());
    AgentPort* agent = agent_;
    return Step(context, [agent, call, action] { (agent->*call)(action, kStepTimeout); });
  }

  AgentPort* const agent_;
  AgentPools* const pools_;
};

}  // namespace

wire::Agent::Client MakeAgentService(AgentPort* agent, AgentPools* pools) {
  return kj::heap<AgentService>(agent, pools);
}

}  // namespace turmericshift
