// An entry of a pool: answers callers, follows the store, and plans the pool while it holds the
// duty. The sessions' listener is made around it, since it lies in a layer above.
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
  ElectorOptions duty;
  JobApiOptions front;
  // How long a look at the list of members waits for a change.
  Duration members_wait = std::chrono::seconds(4);
  // How long a leaving entry goes on taking callers in, so that the balancer notices first: it asks
  // each second and leaves out an entry that was not ready twice.
  Duration balancer_notice = std::chrono::milliseconds(2300);
};

class PoolEntry {
 public:
  // All arguments must outlive the entry.
  PoolEntry(const PoolEntryOptions& options, KeyedLog* log,
            std::unique_ptr<OperatorDecoder> decoder, const CallerEndpoint* door,
            PlannerConnector* connector, MetricsRegistry* metrics);
  ~PoolEntry();
  PoolEntry(const PoolEntry&) = delete;
  PoolEntry& operator=(const PoolEntry&) = delete;

  PlannerGate* gate() { return &service_; }
  // For the one who asks the advice service on its behalf.
  PlannerService* planner() { return &service_; }
  int caller_port() const { return callers_->port(); }
  int readiness_port() const { return readiness_->port(); }
  // Takes part in planning from now on; `address` is where sessions are opened.
  void Join(const std::string& address);
  // Gives the duty up, lets the balancer notice, answers what is in flight, all within `limit`;
  // returns whether every call was answered.
  bool Leave(Duration limit);

 private:
  HttpResponse AnswerReadiness(const HttpRequest& request) const;

  const PoolEntryOptions options_;
  KeyedLog* const log_;
  const CallerEndpoint* const door_;
  PlannerConnector* const connector_;
  MetricsRegistry* const metrics_;
  std::atomic<bool> leaving_{false};
  WorkView work_;
  OperatorView operators_;
  MembersView members_;
  PlannerRouter router_;
  PlannerService service_;
  std::unique_ptr<PlannerElector> duty_;
  JobApi front_;
  std::unique_ptr<HttpServer> callers_;
  std::unique_ptr<HttpServer> readiness_;
};

}  // namespace turmericshift::pool
