#include "servers/pool/pool_bounds.h"

#include <algorithm>

#include "core/error.h"
#include "servers/pool/job_api.h"
#include "servers/pool/pool_planner.h"

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;

// Longer leases bring no benefit, since a change of planner takes three seconds, and the tasks of a
// lost worker wait for the lease to expire.
constexpr Duration kMaxLease = milliseconds(4000);
// Leases stay this much below the workers' limit, so that no worker shortens a lease without the
// planner's knowledge.
constexpr Duration kLeaseReserve = milliseconds(500);
// Workers' clocks may run slow by this share.
constexpr double kClockSlack = 0.02;
// Margin before the planner treats a lease as expired, in addition to clock skew and the stop time.
constexpr Duration kLeaseExpiryMargin = milliseconds(120);

// Upper limits of the derived limits. Larger values bring no benefit: a planner polls the store
// four times a second, and agents poll the planner twice a second.
constexpr Duration kMaxConfirmAge = milliseconds(1200);
constexpr Duration kMaxDocumentAge = milliseconds(2000);
constexpr Duration kMaxStartWindow = milliseconds(1500);
// Part of a bound on starts that is reserved for the start itself.
constexpr Duration kStartReserve = milliseconds(300);
// Share of the time available after the reserve for which an order may be in transit; the rest is
// for the planner to learn of the change.
constexpr double kStartWindowShare = 5.0 / 9;
// A slow answer of the store and an agent's poll have to fit into the shortest limit.
constexpr Duration kMinLimit = milliseconds(500);

constexpr Duration kMaxGangStartTimeout = milliseconds(1300);
// Time for the stop order to arrive, out of the time that gang members wait for each other.
constexpr Duration kStopOrderDelay = milliseconds(400);
constexpr Duration kMinGangStartTimeout = milliseconds(300);

// Time from the decision to the start of a gang member on free room.
constexpr Duration kStartLatency = milliseconds(200);
// Longest interval between two evaluations of reclaiming.
constexpr Duration kReclaimInterval = milliseconds(300);
// Reserve for a second decision, for example after a worker refused a start.
constexpr Duration kRetryReserve = milliseconds(700);
// Typical error of forecasts of when room becomes free.
constexpr Duration kForecastError = milliseconds(1000);
// Freed room stays reserved this much longer than the stop takes: two orders and their polls.
constexpr Duration kReservationMargin = milliseconds(1100);

// Duration of a call, subtracted from the bounds on withdrawn keys and on visibility of accepted
// jobs.
constexpr Duration kCallReserve = milliseconds(1000);
constexpr Duration kStatusReserve = std::chrono::seconds(10);

Duration CheckedLimit(const char* bound, Duration limit, Duration minimum) {
  if (limit >= minimum) return limit;
  throw Error(ErrorKind::kInvalidInput, std::string(bound) + " leaves a limit of " +
                                            std::to_string(Seconds(limit)) + " s; at least " +
                                            std::to_string(Seconds(minimum)) + " s are required");
}

// The progress of kTasksPerPart tasks without checkpoints, and records of learned state, take less.
constexpr size_t kMinRecordBytes = size_t{64} << 10;

}  // namespace

size_t MaxValueBytes(const PoolBounds& bounds) {
  if (bounds.max_record_bytes < kMinRecordBytes) {
    throw Error(ErrorKind::kInvalidInput,
                "the largest record has " + std::to_string(bounds.max_record_bytes) +
                    " bytes, but " + std::to_string(kMinRecordBytes) + " are required");
  }
  return bounds.max_record_bytes - kRecordKeyBytes;
}

PlannerOptions PlannerOptionsFor(const PoolBounds& bounds) {
  PlannerOptions options;
  options.lease_duration = CheckedLimit(
      "the longest lease", std::min(kMaxLease, bounds.longest_lease - kLeaseReserve), kMinLimit);
  options.lease_margin =
      Scaled(options.lease_duration, kClockSlack) + bounds.stop + kLeaseExpiryMargin;
  options.longest_lease = Scaled(bounds.longest_lease, 1 + kClockSlack);
  const Duration cancel = bounds.cancel - kStartReserve;
  const Duration zone_out = bounds.zone_out - kStartReserve;
  options.start_window =
      std::min(kMaxStartWindow, Scaled(std::min(cancel, zone_out), kStartWindowShare));
  options.confirm_age_limit =
      CheckedLimit("the bound on cancelled jobs",
                   std::min(kMaxConfirmAge, cancel - options.start_window), kMinLimit);
  options.document_age_limit =
      CheckedLimit("the bound on zones that are out",
                   std::min(kMaxDocumentAge, zone_out - options.start_window), kMinLimit);
  options.gang_start_timeout =
      CheckedLimit("the time that members of a gang wait",
                   std::min(kMaxGangStartTimeout, bounds.gang_wait - bounds.stop - kStopOrderDelay),
                   kMinGangStartTimeout);
  options.max_gang_start_timeout =
      std::max(options.gang_start_timeout, bounds.gang_wait - bounds.stop - kStopOrderDelay);
  const Duration spare = bounds.reclaim - bounds.stop - kStartLatency;
  options.guaranteed_off_rack_delay =
      std::max(Duration::zero(), spare - kReclaimInterval - kRetryReserve);
  options.guaranteed_wait_limit =
      std::max(Duration::zero(), spare - kReclaimInterval - kForecastError - kStartLatency);
  options.max_stop_time = bounds.stop;
  options.reservation_limit = bounds.stop + kReservationMargin;
  options.restore_time = bounds.restore;
  options.ended_job_retention = bounds.status_kept + kStatusReserve;
  options.off_rack_slowdown = bounds.off_rack_slowdown;
  options.max_value_bytes = MaxValueBytes(bounds);
  return options;
}

void ApplyBounds(const PoolBounds& bounds, JobApiOptions* options) {
  options->key_age_limit =
      CheckedLimit("the bound on withdrawn keys", bounds.key_withdrawn - kCallReserve, kMinLimit);
  options->max_value_bytes = MaxValueBytes(bounds);
  options->view_age_limit = CheckedLimit("the bound on visibility of accepted jobs",
                                         bounds.visible - kCallReserve, kMinLimit);
}

std::vector<std::string> UnattainableBounds(const PoolBounds& bounds) {
  std::vector<std::string> unattainable;
  if (bounds.reclaim < bounds.stop + kStartLatency + kReclaimInterval) {
    unattainable.push_back("reclaiming room takes up to " +
                           std::to_string(Seconds(bounds.stop + kStartLatency + kReclaimInterval)) +
                           " s, and guarantees are due after " +
                           std::to_string(Seconds(bounds.reclaim)) + " s");
  }
  return unattainable;
}

}  // namespace turmericshift::pool
