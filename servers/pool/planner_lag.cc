#include "servers/pool/planner_lag.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace turmericshift::pool {
namespace {

// An agent that has not reported for this long is gone.
constexpr Duration kGoneAge = std::chrono::seconds(4);
// A healthy agent reports again within this time after an answer.
constexpr Duration kUsualPollGap = std::chrono::milliseconds(50);
// Agents report at least this often while there is no fault.
constexpr Duration kRecentAge = std::chrono::seconds(2);
// The agents that reported recently represent all agents if they are at least one in four.
constexpr size_t kMinSampleDivisor = 4;
// Updates are further apart than this only if the planner was stalled.
constexpr Duration kStallThreshold = std::chrono::milliseconds(300);
// The planner counts as overloaded above this lag, and then postpones choosing victims and
// reserving room.
constexpr Duration kOverloadThreshold = std::chrono::milliseconds(300);
// Interval at which the limit on starts in flight is adjusted: halved while the planner is
// overloaded, raised otherwise.
constexpr Duration kLimitAdjustInterval = std::chrono::milliseconds(300);
constexpr int kMinStartsInFlight = 16;
constexpr int kStartsInFlightStep = 32;

Duration MedianWait(std::vector<Duration> waits) {
  const auto half = waits.begin() + static_cast<std::ptrdiff_t>(waits.size() / 2);
  std::nth_element(waits.begin(), half, waits.end());
  return std::max(Duration::zero(), *half - kUsualPollGap);
}

}  // namespace

bool PlannerLag::overloaded() const { return lag_ > kOverloadThreshold; }

void PlannerLag::NoteReportRead(const std::string& node, Time now) {
  const auto found = waiting_since_.find(node);
  if (found == waiting_since_.end()) return;
  recent_reads_[node] = {now, std::max(Duration::zero(), now - found->second)};
}

Duration PlannerLag::MedianRecentWait(size_t agents, Time now) const {
  std::vector<Duration> waits;
  for (const auto& [node, read] : recent_reads_) {
    if (now - read.at <= kRecentAge) waits.push_back(read.waited);
  }
  const bool too_few = waits.empty() || waits.size() * kMinSampleDivisor < agents;
  return too_few ? Duration::max() : MedianWait(std::move(waits));
}

void PlannerLag::Update(Time now) {
  // After a stall, reports that were read promptly before the stall must not lower the measured
  // lag.
  if (now - updated_ > kStallThreshold) recent_reads_.clear();
  std::vector<Duration> waits;
  waits.reserve(waiting_since_.size());
  for (const auto& [node, since] : waiting_since_) {
    if (now - since < kGoneAge) waits.push_back(now - since);
  }
  Duration median{};
  if (!waits.empty()) {
    const Duration recent_median = MedianRecentWait(waits.size(), now);
    median = std::min(MedianWait(std::move(waits)), recent_median);
  }
  const Duration decayed = std::max(Duration::zero(), lag_ - (now - updated_));
  lag_ = std::max(median, decayed);
  updated_ = now;
  if (now - limit_adjusted_ >= kLimitAdjustInterval) AdjustStartLimit(now);
}

void PlannerLag::AdjustStartLimit(Time now) {
  limit_adjusted_ = now;
  max_starts_in_flight_ =
      overloaded() ? std::max(kMinStartsInFlight, max_starts_in_flight_ / 2)
                   : std::min(kMaxStartsInFlight, max_starts_in_flight_ + kStartsInFlightStep);
}

}  // namespace turmericshift::pool
