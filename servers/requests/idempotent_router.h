// Routes requests with an idempotency key so that each key runs at most once: the router claims the
// key in the log, has one target run the request, and waits for the existing claim's outcome if
// another entry claimed the key first. docs/notes/requests.md lists the failure windows.
#pragma once

#include <optional>
#include <string>

#include "core/metrics.h"
#include "servers/requests/retry_budget.h"
#include "servers/requests/target_sender.h"
#include "servers/state/replicated_requests.h"
#include "servers/state/stream_client.h"

namespace turmericshift {

class IdempotentRouter {
 public:
  // All pointers must outlive the router.
  IdempotentRouter(TargetSender* sender, RetryBudget* budget, StreamClient* requests,
                   const ReplicatedRequests* replicated_requests, MetricsRegistry* metrics);

  // Throws Error; its outcome says what is known about this request, over all attempts.
  // `key_first_used_ms` is when the caller first used the key (ms since 1970), 0 if not given.
  ServiceAnswer Route(const ServiceRequest& request, int64_t key_first_used_ms, Time deadline);

 private:
  // Resolves the attempt that owns the key. Returns its answer, or nullopt if that attempt never
  // ran and never will, so that the next attempt may be claimed; otherwise throws Error.
  std::optional<ServiceAnswer> FollowClaim(const ServiceRequest& request, const RequestState& state,
                                           Time deadline);
  // Claims `attempt` for a target and delivers the request to that target. Returns nullopt when
  // another claim came first, or when the attempt did not run and may be retried.
  std::optional<ServiceAnswer> ClaimAndDeliver(const ServiceRequest& request, int attempt,
                                               Time deadline);
  // Throws Error(kLogUnavailable) while the view of the log is too old to show all recent claims.
  void RequireFreshView(Time now) const;
  // Throws Error(kKeyExpired) when the key is so old that its state may have been dropped.
  void RequireKeyRetained(int64_t key_first_used_ms) const;
  // The state of the key; nullopt if the key was never claimed. Waits for the outcome of a claimed
  // key for up to the grace period for forwarding.
  std::optional<RequestState> FindAfterGracePeriod(const ServiceRequest& request,
                                                   Time deadline) const;
  void RecordOutcome(const RequestClaimed& claim, const ServiceAnswer& answer);
  void RecordNeverRan(const RequestClaimed& claim);

  TargetSender* const sender_;
  RetryBudget* const budget_;
  StreamClient* const requests_;
  const ReplicatedRequests* const replicated_requests_;
  Counter* const claims_;
  Counter* const followed_;
};

}  // namespace turmericshift
