// Carries one caller's request to a target and its answer back; sends again only what is provably
// not run, or what its service declares repeatable.
#pragma once

#include <memory>
#include <string>

#include "core/metrics.h"
#include "servers/requests/idempotent_router.h"
#include "servers/requests/retry_budget.h"
#include "servers/requests/target_sender.h"
#include "servers/state/config_fold.h"

namespace turmericshift {

struct RouterOptions {
  SenderOptions sender;
  RetryBudgetOptions budget;
  int max_attempts = 3;
};

class RequestRouter {
 public:
  // `config` may be null: then every service counts as not repeatable. All others must outlive
  // the router.
  RequestRouter(const RouterOptions& options, std::unique_ptr<RoutingPolicy> policy,
                AgentDirectory* directory, StreamClient* requests, const RequestFold* fold,
                const ConfigFold* config, MetricsRegistry* metrics);

  // Throws Error whose outcome is the truth about this request. `request.time_left` is the
  // caller's deadline; a set idempotency key makes it run at most once. `key_first_used_ms` is when
  // the caller first used the key (milliseconds since 1970), 0 if it did not say.
  ServiceAnswer Route(const ServiceRequest& request, int64_t key_first_used_ms = 0);

  // When a caller refused with `error` should come back; zero when that is of no use.
  Duration RetryAfter(const std::string& service, const Error& error) const;

 private:
  ServiceAnswer RouteRepeatable(const ServiceRequest& request, Time deadline);
  // Whether `error` allows another attempt; takes it from the budget and pauses before it.
  bool PrepareRetry(const std::string& service, const Error& error, int attempt, Time deadline);
  bool Repeatable(const std::string& service) const;

  const RouterOptions options_;
  const ConfigFold* const config_;
  Counter* const retries_;
  Distribution* const latency_;
  RetryBudget budget_;
  TargetSender sender_;
  IdempotentRouter idempotent_;
};

}  // namespace turmericshift
