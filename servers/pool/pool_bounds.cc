#include "servers/pool/pool_bounds.h"

#include <algorithm>

#include "core/error.h"
#include "servers/pool/job_api.h"
#include "servers/pool/pool_planner.h"

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;

// Longer leases gain nothing, since a change of planner takes three seconds, and a lost worker's
// tasks wait for them.
constexpr Duration kMaxLease = milliseconds(4000);
// What a lease keeps of what workers grant at most, so that none is shortened there unseen.
constexpr Duration kLeaseReserve = milliseconds(500);
// Workers' clocks may run so much slow.
constexpr double kClockSlack = 0.02;
// From the end of a lease until the planner may count on it, besides slow clocks and the stop.
constexpr Duration kLeaseExpiryMargin = milliseconds(120);

// The longest that limits are of use: a planner asks the store each quarter of a second, agents ask
// the planner each half.
constexpr Duration kMaxConfirmLimit = milliseconds(1200);
constexpr Duration kMaxDocumentLimit = milliseconds(2000);
constexpr Duration kMaxStartWindow = milliseconds(1500);
// Of a bound on starts, what is kept for the start itself,
constexpr Duration kStartReserve = milliseconds(300);
// and the share of the rest that an order may be under way; the other is for hearing of the change.
constexpr double kStartWindowShare = 5.0 / 9;
// A store's slow answer and an agent's poll have to fit into the shortest limit.
constexpr Duration kMinLimit = milliseconds(500);

constexpr Duration kMaxGangStart = milliseconds(1300);
// Of the time that members wait for each other, what the stop order takes to arrive.
constexpr Duration kStopOrderDelay = milliseconds(400);
constexpr Duration kMinGangStart = milliseconds(300);

// From the decision to the start of a member on room that is free.
constexpr Duration kStartLatency = milliseconds(200);
// Reclaiming is weighed again after this at the latest.
constexpr Duration kReclaimInterval = milliseconds(300);
// Spare for a decision that has to be made twice, as when a worker turns a start away.
constexpr Duration kRetryReserve = milliseconds(700);
// Forecasts of when room comes free are off by about this.
constexpr Duration kForecastError = milliseconds(1000);
// Room that is freed is held for this long beyond the stop: two orders and their polls.
constexpr Duration kReservationMargin = milliseconds(1100);

// Of the bounds on keys and on what every entry knows, what a call takes.
constexpr Duration kCallReserve = milliseconds(1000);
constexpr Duration kStatusReserve = std::chrono::seconds(10);

Duration CheckedLimit(const char* bound, Duration limit, Duration minimum) {
  if (limit >= minimum) return limit;
  throw Error(ErrorKind::kInvalidInput, std::string(bound) + " leaves a limit of " +
                                            std::to_string(Seconds(limit)) + " s, and " +
                                            std::to_string(Seconds(minimum)) + " s are needed");
}

}  // namespace

PlannerOptions PlannerOptionsFor(const PoolBounds& bounds) {
  PlannerOptions options;
  options.lease = CheckedLimit(
      "the longest lease", std::min(kMaxLease, bounds.longest_lease - kLeaseReserve), kMinLimit);
  options.lease_margin = Scaled(options.lease, kClockSlack) + bounds.stop + kLeaseExpiryMargin;
  const Duration cancel = bounds.cancel - kStartReserve;
  const Duration zone_out = bounds.zone_out - kStartReserve;
  options.start_window =
      std::min(kMaxStartWindow, Scaled(std::min(cancel, zone_out), kStartWindowShare));
  options.confirm_limit =
      CheckedLimit("the bound on cancelled jobs",
                   std::min(kMaxConfirmLimit, cancel - options.start_window), kMinLimit);
  options.document_limit =
      CheckedLimit("the bound on zones that are out",
                   std::min(kMaxDocumentLimit, zone_out - options.start_window), kMinLimit);
  options.gang_start_limit = CheckedLimit(
      "the time that members of a gang wait",
      std::min(kMaxGangStart, bounds.gang_wait - bounds.stop - kStopOrderDelay), kMinGangStart);
  options.longest_gang_start =
      std::max(options.gang_start_limit, bounds.gang_wait - bounds.stop - kStopOrderDelay);
  const Duration spare = bounds.reclaim - bounds.stop - kStartLatency;
  options.owed_stray_after = std::max(Duration::zero(), spare - kReclaimInterval - kRetryReserve);
  options.owed_patience =
      std::max(Duration::zero(), spare - kReclaimInterval - kForecastError - kStartLatency);
  options.stop = bounds.stop;
  options.reservation_limit = bounds.stop + kReservationMargin;
  options.restore = bounds.restore;
  options.status_limit = bounds.status_kept + kStatusReserve;
  options.stray_factor = bounds.stray_factor;
  return options;
}

void ApplyBounds(const PoolBounds& bounds, JobApiOptions* options) {
  options->key_age_limit =
      CheckedLimit("the bound on withdrawn keys", bounds.key_withdrawn - kCallReserve, kMinLimit);
  options->view_age_limit =
      CheckedLimit("the bound on knowing accepted jobs", bounds.visible - kCallReserve, kMinLimit);
}

std::vector<std::string> UnattainableBounds(const PoolBounds& bounds) {
  std::vector<std::string> unattainable;
  if (bounds.reclaim < bounds.stop + kStartLatency + kReclaimInterval) {
    unattainable.push_back("room that others use comes back after up to " +
                           std::to_string(Seconds(bounds.stop + kStartLatency + kReclaimInterval)) +
                           " s, and guarantees are due after " +
                           std::to_string(Seconds(bounds.reclaim)) + " s");
  }
  return unattainable;
}

}  // namespace turmericshift::pool
