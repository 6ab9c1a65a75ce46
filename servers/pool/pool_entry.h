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
  VmResources vm;
  HttpServerOptions callers;
  HttpServerOptions readiness;
  PlannerServiceOptions planner;
  ElectorOptions elector;
  JobApiOptions job_api;
  // How long a poll of the members topic waits for a change.
  Duration members_wait = std::chrono::seconds(4);
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
  std::unique_ptr<PlannerElector> elector_;
  JobApi job_api_;
  std::unique_ptr<HttpServer> callers_;
  std::unique_ptr<HttpServer> readiness_;
};

}  // namespace turmericshift::pool
