// Routes a caller's request to a target and returns the answer. Retries a request only if it
// provably did not run, or if its service is declared repeatable.
#pragma once

#include <memory>
#include <string>

#include "core/metrics.h"
#include "servers/requests/idempotent_router.h"
#include "servers/requests/retry_budget.h"
#include "servers/requests/target_sender.h"
#include "servers/state/replicated_config.h"

namespace turmericshift {

struct RouterOptions {
  SenderOptions sender;
  RetryBudgetOptions budget;
  int max_attempts = 3;
};

class RequestRouter {
 public:
  // `config` may be null: no service is then repeatable. Other pointers must outlive the router.
  RequestRouter(const RouterOptions& options, std::unique_ptr<RoutingPolicy> policy,
                AgentDirectory* directory, StreamClient* requests,
                const ReplicatedRequests* replicated_requests, const ReplicatedConfig* config,
                MetricsRegistry* metrics);

  // Throws Error; its outcome says what is known about this request, over all attempts.
  // `request.time_left` is the time until the caller's deadline. A request with an idempotency key
  // runs at most once. `key_first_used_ms` is when the caller first used the key (milliseconds
  // since 1970), 0 if the caller did not say.
  ServiceAnswer Route(const ServiceRequest& request, int64_t key_first_used_ms = 0);

  // How long a caller that got `error` should wait before a retry; zero if a retry is of no use.
  Duration RetryAfter(const std::string& service, const Error& error) const;

 private:
  ServiceAnswer RouteRepeatable(const ServiceRequest& request, Time deadline);
  // Returns whether another attempt is allowed after `error`. If so, spends a token of the retry
  // budget and sleeps for the backoff time.
  bool PrepareRetry(const std::string& service, const Error& error, int attempt, Time deadline);
  bool Repeatable(const std::string& service) const;

  const RouterOptions options_;
  const ReplicatedConfig* const config_;
  Counter* const retries_;
  Distribution* const latency_;
  RetryBudget budget_;
  TargetSender sender_;
  IdempotentRouter idempotent_;
};

}  // namespace turmericshift
