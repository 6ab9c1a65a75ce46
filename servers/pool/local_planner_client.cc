#include "servers/pool/local_planner_client.h"

#include <future>
#include <memory>
#include <utility>

namespace turmericshift::pool {
namespace {

// Calls `begin` with a callback and waits until the callback is called.
template <typename Value, typename Begin>
Value WaitFor(Begin&& begin, Duration timeout) {
  auto promise = std::make_shared<std::promise<Result<Value>>>();
  std::future<Result<Value>> future = promise->get_future();
  begin([promise](Result<Value> result) { promise->set_value(std::move(result)); });
  if (future.wait_for(timeout) != std::future_status::ready) {
    throw Error(ErrorKind::kDeadlineExceeded, Outcome::kUnknown, "the planner has not answered");
  }
  return future.get().Take();
}

}  // namespace

AgentOrders LocalPlannerClient::Exchange(const AgentReport& report, Duration timeout) {
  return WaitFor<AgentOrders>([&](auto done) { gate_->Exchange(report, done); }, timeout);
}

void LocalPlannerClient::Submit(const JobSpec& spec, Duration timeout) {
  WaitFor<Done>([&](auto done) { gate_->Submit(spec, done); }, timeout);
}

void LocalPlannerClient::Cancel(const std::string& id, Duration timeout) {
  WaitFor<Done>([&](auto done) { gate_->Cancel(id, done); }, timeout);
}

void LocalPlannerClient::Yield(const PlannerRecord& successor, Duration timeout) {
  WaitFor<Done>([&](auto done) { gate_->Yield(successor, done); }, timeout);
}

void LocalPlannerClient::TakeOver(const PlannerRecord& planner, Duration timeout) {
  WaitFor<Done>([&](auto done) { gate_->TakeOver(planner, done); }, timeout);
}

void LocalPlannerClient::Offer(Duration timeout) {
  WaitFor<Done>([&](auto done) { gate_->Offer(done); }, timeout);
}

}  // namespace turmericshift::pool
