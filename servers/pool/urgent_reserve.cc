#include "servers/pool/urgent_reserve.h"

#include <algorithm>
#include <cmath>

#include "servers/pool/placer.h"

namespace turmericshift::pool {
namespace {

// At most this share of the pool is kept free: others would hardly be served at all else, and a
// pool that stands idle beside work that waits has forgotten it.
constexpr double kMostKept = 0.4;
// The highest demand seen counts half after this.
constexpr Duration kHalfLife = std::chrono::seconds(60);
// A job can wait if beginning so much later costs less than this share of its worth.
constexpr Duration kWait = std::chrono::seconds(5);
constexpr double kLittleWorth = 0.05;

double ShareOf(int64_t part, int64_t total) {
  return total > 0 ? static_cast<double>(part) / static_cast<double>(total) : 0.0;
}

int64_t Part(int64_t total, double share) {
  return static_cast<int64_t>(std::ceil(static_cast<double>(total) * share));
}

}  // namespace

double UrgentReserve::Peak(Time now) const {
  return peak_at_ ? peak_ * std::exp2(-Seconds(now - *peak_at_) / Seconds(kHalfLife)) : 0.0;
}

void UrgentReserve::RecordDemand(const PoolRoom& pool, const Room& demand, Time now) {
  const double share = std::max(ShareOf(demand.accelerators, pool.total.accelerators),
                                ShareOf(demand.processor_millis, pool.total.processor_millis));
  peak_ = std::max(Peak(now), share);
  peak_at_ = now;
}

int UrgentReserve::TasksOutsideReserve(const PoolRoom& pool, const Room& need, int tasks,
                                       Time now) const {
  // Room that is short of either is of no use to those for whom it is kept.
  const double kept = std::min(Peak(now), kMostKept);
  Room spare = pool.free;
  spare -= {Part(pool.total.processor_millis, kept), 0, Part(pool.total.accelerators, kept)};
  return FitCount(spare, need, tasks);
}

bool CanWait(const JobTiming& timing) {
  return ExpectedValueShare(timing, Duration::zero()) - ExpectedValueShare(timing, kWait) <
         kLittleWorth;
}

}  // namespace turmericshift::pool
