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
constexpr Duration kLongestLease = milliseconds(4000);
// What a lease keeps of what workers grant at most, so that none is shortened there unseen.
constexpr Duration kLeaseReserve = milliseconds(500);
// Workers' clocks may run so much slow.
constexpr double kClockSlack = 0.02;
// From the end of a lease until the planner may count on it, besides slow clocks and the stop.
constexpr Duration kLeaseOverReserve = milliseconds(120);

// The longest that limits are of use: a planner asks the store each quarter of a second, agents ask
// the planner each half.
constexpr Duration kLongestConfirmLimit = milliseconds(1200);
constexpr Duration kLongestDocumentLimit = milliseconds(2000);
constexpr Duration kLongestStartWindow = milliseconds(1500);
// Of a bound on starts, what is kept for the start itself,
constexpr Duration kStartReserve = milliseconds(300);
// and the share of the rest that an order may be under way; the other is for hearing of the change.
constexpr double kStartWindowShare = 5.0 / 9;
// A store's slow answer and an agent's poll have to fit into the shortest limit.
constexpr Duration kLeastLimit = milliseconds(500);

constexpr Duration kLongestGangStart = milliseconds(1300);
// Of the time that members wait for each other, what the stop order takes to arrive.
constexpr Duration kStopOrderReserve = milliseconds(400);
constexpr Duration kLeastGangStart = milliseconds(300);

// From the decision to the start of a member on room that is free.
constexpr Duration kStart = milliseconds(200);
// Reclaiming is weighed again after this at the latest.
constexpr Duration kWeighAgain = milliseconds(300);
// Spare for a decision that has to be made twice, as when a worker turns a start away.
constexpr Duration kSecondTry = milliseconds(700);
// Forecasts of when room comes free are off by about this.
constexpr Duration kForecastError = milliseconds(1000);
// Room that is freed is held for this long beyond the stop: two orders and their polls.
constexpr Duration kReservationReserve = milliseconds(1100);

// Of the bounds on keys and on what every entry knows, what a call takes.
constexpr Duration kCallReserve = milliseconds(1000);
constexpr Duration kStatusReserve = std::chrono::seconds(10);

Duration NotBelow(const char* bound, Duration limit, Duration least) {
  if (limit >= least) return limit;
  throw Error(ErrorKind::kInvalidInput, std::string(bound) + " leaves a limit of " +
                                            std::to_string(Seconds(limit)) + " s, and " +
                                            std::to_string(Seconds(least)) + " s are needed");
}

}  // namespace

PlannerOptions PlannerOptionsFor(const PoolBounds& bounds) {
  PlannerOptions options;
  options.lease =
      NotBelow("the longest lease", std::min(kLongestLease, bounds.longest_lease - kLeaseReserve),
               kLeastLimit);
  options.lease_margin = Scaled(options.lease, kClockSlack) + bounds.stop + kLeaseOverReserve;
  const Duration cancel = bounds.cancel - kStartReserve;
  const Duration zone_out = bounds.zone_out - kStartReserve;
  options.start_window =
      std::min(kLongestStartWindow, Scaled(std::min(cancel, zone_out), kStartWindowShare));
  options.confirm_age_limit =
      NotBelow("the bound on cancelled jobs",
               std::min(kLongestConfirmLimit, cancel - options.start_window), kLeastLimit);
  options.document_age_limit =
      NotBelow("the bound on zones that are out",
               std::min(kLongestDocumentLimit, zone_out - options.start_window), kLeastLimit);
  options.gang_start_timeout =
      NotBelow("the time that members of a gang wait",
               std::min(kLongestGangStart, bounds.gang_wait - bounds.stop - kStopOrderReserve),
               kLeastGangStart);
  options.max_gang_start_timeout =
      std::max(options.gang_start_timeout, bounds.gang_wait - bounds.stop - kStopOrderReserve);
  const Duration spare = bounds.reclaim - bounds.stop - kStart;
  options.guaranteed_off_rack_delay = std::max(Duration::zero(), spare - kWeighAgain - kSecondTry);
  options.guaranteed_wait_limit =
      std::max(Duration::zero(), spare - kWeighAgain - kForecastError - kStart);
  options.stop = bounds.stop;
  options.reservation_limit = bounds.stop + kReservationReserve;
  options.restore = bounds.restore;
  options.ended_job_retention = bounds.status_kept + kStatusReserve;
  options.off_rack_slowdown = bounds.off_rack_slowdown;
  return options;
}

void ApplyBounds(const PoolBounds& bounds, JobApiOptions* options) {
  options->key_limit =
      NotBelow("the bound on withdrawn keys", bounds.key_withdrawn - kCallReserve, kLeastLimit);
  options->view_limit =
      NotBelow("the bound on knowing accepted jobs", bounds.visible - kCallReserve, kLeastLimit);
}

std::vector<std::string> UnattainableBounds(const PoolBounds& bounds) {
  std::vector<std::string> unmet;
  if (bounds.reclaim < bounds.stop + kStart + kWeighAgain) {
    unmet.push_back("room that others use comes back after up to " +
                    std::to_string(Seconds(bounds.stop + kStart + kWeighAgain)) +
                    " s, and guarantees are due after " + std::to_string(Seconds(bounds.reclaim)) +
                    " s");
  }
  return unmet;
}

}  // namespace turmericshift::pool
