#include "servers/pool/urgent_reserve.h"

#include <algorithm>
#include <cmath>

#include "servers/learned/saved_rows.h"
#include "servers/pool/placer.h"

namespace turmericshift::pool {
namespace {

// Upper limit of the reserved share of the pool: with more, other jobs would hardly be served, and
// room would stay idle while work waits.
constexpr double kMaxReservedShare = 0.4;
// Half-life of the highest observed demand.
constexpr Duration kHalfLife = std::chrono::seconds(60);
// A job can wait if a start later by this wait costs less than kNegligibleLoss of its value.
constexpr Duration kAcceptableWait = std::chrono::seconds(5);
constexpr double kNegligibleLoss = 0.05;
// The share is saved in hundredths: in finer steps, each small decay would be written.
constexpr double kSavedSteps = 100;
// Largest saved demand as a multiple of the pool.
constexpr double kMaxSavedShare = 1000;

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
  peak_ = std::max(Peak(now), std::min(share, 1.0));
  peak_at_ = now;
}

int UrgentReserve::TasksOutsideReserve(const PoolRoom& pool, const Room& need, int tasks,
                                       Time now) const {
  // The same share of processors and accelerators is reserved: urgent tasks need both.
  const double reserved = std::min(Peak(now), kMaxReservedShare);
  Room available = pool.free;
  available -=
      {Part(pool.total.processor_millis, reserved), 0, Part(pool.total.accelerators, reserved)};
  return FitCount(available, need, tasks);
}

nlohmann::json UrgentReserve::Save(size_t, Time now) const {
  return {{"peak_percent", std::lround(std::min(Peak(now), kMaxSavedShare) * kSavedSteps)}};
}

void UrgentReserve::Load(const nlohmann::json& data, Duration age, Time now) {
  peak_ = learned::ReadSaved([&] {
    return learned::NumberIn(data.at("peak_percent"), 0, kMaxSavedShare * kSavedSteps) /
           kSavedSteps;
  });
  peak_at_ = now - age;
}

bool CanWait(const JobTiming& timing) {
  return ExpectedValueShare(timing, Duration::zero()) -
             ExpectedValueShare(timing, kAcceptableWait) <
         kNegligibleLoss;
}

}  // namespace turmericshift::pool
