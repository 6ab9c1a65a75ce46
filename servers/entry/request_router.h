// Carries one caller's request to a target and its answer back: chooses, claims where the request
// may not be repeated, sends again only what is provably not run.
#pragma once

#include <memory>
#include <mutex>
#include <string>

#include "core/metrics.h"
#include "servers/entry/agent_directory.h"
#include "servers/entry/routing_policy.h"
#include "servers/state/request_fold.h"
#include "servers/state/stream_client.h"

namespace turmericshift {

struct RouterOptions {
  std::string own_zone;
  // An agent not heard for this long gets no new requests.
  Duration silence = std::chrono::seconds(3);
  int max_attempts = 3;
};

class RequestRouter {
 public:
  // All pointers must outlive the router.
  RequestRouter(const RouterOptions& options, std::unique_ptr<RoutingPolicy> policy,
                AgentDirectory* directory, StreamClient* requests, const RequestFold* fold,
                MetricsRegistry* metrics);

  // Throws Error whose outcome is the truth about the work. `request.time_left` is the caller's
  // deadline; a set idempotency key makes it run at most once.
  ServiceAnswer Route(const ServiceRequest& request);

 private:
  ServiceAnswer RouteRepeatable(const ServiceRequest& request, Time deadline);
  ServiceAnswer RouteOnce(ServiceRequest request, Time deadline);
  // The answer or error of a key that another attempt owns.
  ServiceAnswer FollowClaim(const ServiceRequest& request, Time deadline);
  ServiceAnswer SendTo(const AgentState& agent, ServiceRequest request, Time deadline);
  AgentState Choose(const std::string& service);
  void RecordEnd(const ServiceRequest& request, const ServiceAnswer& answer);

  const RouterOptions options_;
  const std::unique_ptr<RoutingPolicy> policy_;
  AgentDirectory* const directory_;
  StreamClient* const requests_;
  const RequestFold* const fold_;
  Counter* const retries_;
  Distribution* const latency_;
};

}  // namespace turmericshift
