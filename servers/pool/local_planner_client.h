// Blocking PlannerClient for the planner of this process.
#pragma once

#include "servers/pool/planner_gate.h"

namespace turmericshift::pool {

class LocalPlannerClient : public PlannerClient {
 public:
  explicit LocalPlannerClient(PlannerGate* gate) : gate_(gate) {}
  AgentOrders Exchange(const AgentReport& report, Duration timeout) override;
  void Submit(const JobSpec& spec, Duration timeout) override;
  void Cancel(const std::string& id, Duration timeout) override;
  void Yield(const PlannerRecord& successor, Duration timeout) override;
  void Offer(Duration timeout) override;
  void TakeOver(const PlannerRecord& planner, Duration timeout) override;
  PlannerRecord KnownPlanner(Duration /*timeout*/) override { return gate_->KnownPlanner(); }

 private:
  PlannerGate* const gate_;
};

}  // namespace turmericshift::pool
