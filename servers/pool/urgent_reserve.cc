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

double UrgentReserve::ShareAt(const Peak& peak, Time now) {
  return peak.share * std::exp2(-Seconds(now - peak.at) / Seconds(kHalfLife));
}

double UrgentReserve::PeakOf(const std::string& service, Time now) const {
  const auto found = peaks_.find(service);
  return found == peaks_.end() ? 0.0 : ShareAt(found->second, now);
}

void UrgentReserve::RecordDemand(const std::string& service, const PoolRoom& pool,
                                 const Room& demand, Time now) {
  const double share = std::max(ShareOf(demand.accelerators, pool.total.accelerators),
                                ShareOf(demand.processor_millis, pool.total.processor_millis));
  peaks_[service] = {std::max(PeakOf(service, now), std::min(share, 1.0)), now};
}

int UrgentReserve::TasksOutsideReserve(const std::string& service, const PoolRoom& pool,
                                       const Room& need, int tasks, Time now) const {
  // The same share of processors and accelerators is reserved: urgent tasks need both.
  const double reserved = std::min(PeakOf(service, now), kMaxReservedShare);
  Room available = pool.free;
  available -=
      {Part(pool.total.processor_millis, reserved), 0, Part(pool.total.accelerators, reserved)};
  return FitCount(available, need, tasks);
}

nlohmann::json UrgentReserve::Save(size_t max_bytes, Time now) const {
  learned::SavedRows rows(max_bytes);
  for (const auto& [service, peak] : peaks_) {
    const double share = std::min(ShareAt(peak, now), kMaxSavedShare);
    const int64_t percent = std::lround(share * kSavedSteps);
    if (percent > 0) rows.Add(service, percent);
  }
  return {{"peak_percent", rows.rows()}};
}

void UrgentReserve::Load(const nlohmann::json& data, Duration age, Time now) {
  peaks_ = learned::ReadSaved([&] {
    std::map<std::string, Peak> peaks;
    const auto rows = data.at("peak_percent").get<std::map<std::string, nlohmann::json>>();
    for (const auto& [service, percent] : rows) {
      const double share =
          learned::NumberIn(percent, 0, kMaxSavedShare * kSavedSteps) / kSavedSteps;
      peaks[service] = {share, now - age};
    }
    return peaks;
  });
}

bool CanWait(const JobTiming& timing) {
  return ExpectedValueShare(timing, Duration::zero()) -
             ExpectedValueShare(timing, kAcceptableWait) <
         kNegligibleLoss;
}

}  // namespace turmericshift::pool
