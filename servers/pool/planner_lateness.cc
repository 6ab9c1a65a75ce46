#include "servers/pool/planner_lateness.h"

#include <algorithm>
#include <vector>

namespace turmericshift::pool {
namespace {

// One that has not come back for so long is gone.
constexpr Duration kGone = std::chrono::seconds(4);
// An agent that is well is back sooner than this after an answer.
constexpr Duration kUsualReturn = std::chrono::milliseconds(50);
// Weighing whom to stop, and what to keep free, can wait from this on.
constexpr Duration kShedsFrom = std::chrono::milliseconds(300);
// Starts under way are halved this often at most while the planner is late, and raised as often
// once it is not.
constexpr Duration kPaceEvery = std::chrono::milliseconds(300);
constexpr int kLeastUnderWay = 16;
constexpr int kRaise = 32;

}  // namespace

bool PlannerLateness::sheds() const { return late_ > kShedsFrom; }

void PlannerLateness::Update(Time now) {
  std::vector<Duration> waits;
  waits.reserve(waiting_since_.size());
  for (const auto& [node, since] : waiting_since_) {
    if (now - since < kGone) waits.push_back(now - since);
  }
  Duration middle{};
  if (!waits.empty()) {
    const auto half = waits.begin() + static_cast<std::ptrdiff_t>(waits.size() / 2);
    std::nth_element(waits.begin(), half, waits.end());
    middle = std::max(Duration::zero(), *half - kUsualReturn);
  }
  const Duration fallen = std::max(Duration::zero(), late_ - (now - updated_));
  late_ = std::max(middle, fallen);
  updated_ = now;
  if (now - paced_ >= kPaceEvery) Pace(now);
}

void PlannerLateness::Pace(Time now) {
  paced_ = now;
  most_under_way_ = sheds() ? std::max(kLeastUnderWay, most_under_way_ / 2)
                            : std::min(kMostUnderWay, most_under_way_ + kRaise);
}

}  // namespace turmericshift::pool
