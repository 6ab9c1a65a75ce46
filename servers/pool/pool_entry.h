// An entry of a pool: answers callers, follows the store, and plans the pool while it is the active
// planner. The listener for sessions belongs to a higher layer and is created by the owner.
#pragma once

#include <atomic>
#include <memory>
#include <string>

#include "core/http_server.h"
#include "core/metrics.h"
#include "servers/pool/job_api.h"
#include "servers/pool/planner_elector.h"
#include "servers/pool/planner_service.h"
#include "servers/pool/pool_view.h"

namespace turmericshift::pool {

struct PoolEntryOptions {
  std::string node;
  std::string zone;
  membership::VmResources vm;
  HttpServerOptions callers;
  HttpServerOptions readiness;
  PlannerServiceOptions planner;
  ElectorOptions elector;
  JobApiOptions job_api;
  // How long a poll of the members topic waits for a change while it is followed closely. A planner
  // starts nothing before it has read its own announcement, so a poll that the announcement fails
  // to end must not take long.
  Duration members_wait = std::chrono::milliseconds(500);
  // How long a poll of the operators' topic waits for a change while the entry neither plans nor
  // stands by. A change ends the wait; the age of the view, which decides whether keys are
  // accepted, stays below this and a poll's time-out.
  Duration operators_idle_wait = std::chrono::seconds(2);
  // How often the members topic is read while the entry does not plan.
  Duration members_idle_interval = std::chrono::seconds(10);
  // How often the work topic is read while the entry neither plans nor stands by. Planners write
  // every 0.25 s, so that one read without a record shows a planner's silence.
  Duration work_idle_interval = std::chrono::seconds(2);
  // How long a leaving entry continues to accept callers, so that the balancer notices first: it
  // checks readiness each second and drops an entry after two failed checks.
  Duration balancer_notice = std::chrono::milliseconds(2300);
};

class PoolEntry {
 public:
  // All arguments must outlive the entry.
  PoolEntry(const PoolEntryOptions& options, KeyedLog* log,
            std::unique_ptr<OperatorDecoder> decoder, const CallerEndpoint* endpoint,
            PlannerConnector* connector, MetricsRegistry* metrics);
  ~PoolEntry();
  PoolEntry(const PoolEntry&) = delete;
  PoolEntry& operator=(const PoolEntry&) = delete;

  PlannerGate* gate() { return &service_; }
  // Used by the client of the advice service.
  PlannerService* planner() { return &service_; }
  int caller_port() const { return callers_->port(); }
  int readiness_port() const { return readiness_->port(); }
  // Joins the leader election. `address` is where sessions to this entry are opened.
  void Join(const std::string& address);
  // Releases the leadership, waits until the balancer has noticed, and answers the pending calls,
  // all within `limit`. Returns whether every call was answered.
  bool Leave(Duration limit);

 private:
  HttpResponse AnswerReadiness(const HttpRequest& request) const;

  const PoolEntryOptions options_;
  KeyedLog* const log_;
  const CallerEndpoint* const endpoint_;
  PlannerConnector* const connector_;
  MetricsRegistry* const metrics_;
  std::atomic<bool> leaving_{false};
  WorkView work_;
  OperatorView operators_;
  MembersView members_;
  PlannerRouter router_;
  PlannerService service_;
  JobApi job_api_;
  // Calls the job API.
  std::unique_ptr<PlannerElector> elector_;
  std::unique_ptr<HttpServer> callers_;
  std::unique_ptr<HttpServer> readiness_;
};

}  // namespace turmericshift::pool
