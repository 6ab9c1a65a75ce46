// Carries a request that may not be repeated: claims its key in the log, has one target run it,
// and follows whoever claimed first. docs/notes/requests.md has the table of windows.
#pragma once

#include <optional>
#include <string>

#include "core/metrics.h"
#include "servers/requests/retry_budget.h"
#include "servers/requests/target_sender.h"
#include "servers/state/request_fold.h"
#include "servers/state/stream_client.h"

namespace turmericshift {

class IdempotentRouter {
 public:
  // All pointers must outlive the router.
  IdempotentRouter(TargetSender* sender, RetryBudget* budget, StreamClient* requests,
                   const RequestFold* fold, MetricsRegistry* metrics);

  // Throws Error whose outcome is the truth about this request. `key_first_used_ms` is when the
  // caller first used the key (milliseconds since 1970), 0 if it did not say.
  ServiceAnswer Route(const ServiceRequest& request, int64_t key_first_used_ms, Time deadline);

 private:
  // An answer, or none when the next attempt may be claimed.
  std::optional<ServiceAnswer> FollowClaim(const ServiceRequest& request, const RequestState& state,
                                           Time deadline);
  // Claims `attempt` and delivers it; none when another claim came first.
  std::optional<ServiceAnswer> ClaimAndDeliver(const ServiceRequest& request, int attempt,
                                               Time deadline);
  // Throws Error(kLogUnavailable) while claims of other entries may be missing here.
  void RequireFreshView(Time now) const;
  // Throws Error(kKeyExpired) when a first use of the key may be older than what is kept.
  void RequireKeyRetained(int64_t key_first_used_ms) const;
  // The state of the key, with its outcome if one arrives within the grace.
  std::optional<RequestState> FindAfterGracePeriod(const ServiceRequest& request,
                                                   Time deadline) const;
  void RecordOutcome(const RequestClaimed& claim, const ServiceAnswer& answer);
  void RecordNeverRan(const RequestClaimed& claim);

  TargetSender* const sender_;
  RetryBudget* const budget_;
  StreamClient* const requests_;
  const RequestFold* const fold_;
  Counter* const claims_;
  Counter* const followed_;
};

}  // namespace turmericshift
