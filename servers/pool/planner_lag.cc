#include <algorithm>
#include <utility>
#include <vector>

#include "servers/pool/planner_lag.h"

namespace turmericshift::pool {
namespace {

// One that has not come back for so long is gone.
constexpr Duration kGone = std::chrono::seconds(4);
// An agent that is well is back sooner than this after an answer.
constexpr Duration kUsualReturn = std::chrono::milliseconds(50);
// Agents come back at least this often while all is well.
constexpr Duration kLately = std::chrono::seconds(2);
// They speak for all if there are so many of them: one in four.
constexpr size_t kSpeakFor = 4;
// Looks at the agents are this far apart only if the planner was held up.
constexpr Duration kHeldUp = std::chrono::milliseconds(300);
// Weighing whom to stop, and what to keep free, can wait from this on.
constexpr Duration kShedsFrom = std::chrono::milliseconds(300);
// Starts under way are halved this often at most while the planner is late, and raised as often
// once it is not.
constexpr Duration kPaceEvery = std::chrono::milliseconds(300);
constexpr int kLeastUnderWay = 16;
constexpr int kRaise = 32;

Duration MiddleOf(std::vector<Duration> waits) {
  const auto half = waits.begin() + static_cast<std::ptrdiff_t>(waits.size() / 2);
  std::nth_element(waits.begin(), half, waits.end());
  return std::max(Duration::zero(), *half - kUsualReturn);
}

}  // namespace

bool PlannerLateness::sheds() const { return late_ > kShedsFrom; }

void PlannerLateness::Returned(const std::string& node, Time now) {
  const auto found = waiting_since_.find(node);
  if (found == waiting_since_.end()) return;
  returns_[node] = {now, std::max(Duration::zero(), now - found->second)};
}

Duration PlannerLateness::WaitOfReturns(size_t agents, Time now) const {
  std::vector<Duration> waits;
  for (const auto& [node, each] : returns_) {
    if (now - each.at <= kLately) waits.push_back(each.waited);
  }
  const bool too_few = waits.empty() || waits.size() * kSpeakFor < agents;
  return too_few ? Duration::max() : MiddleOf(std::move(waits));
}

void PlannerLateness::Update(Time now) {
  // Those who came back at once before a stall say nothing of it.
  if (now - updated_ > kHeldUp) returns_.clear();
  std::vector<Duration> waits;
  waits.reserve(waiting_since_.size());
  for (const auto& [node, since] : waiting_since_) {
    if (now - since < kGone) waits.push_back(now - since);
  }
  Duration middle{};
  if (!waits.empty()) {
    const Duration of_returns = WaitOfReturns(waits.size(), now);
    middle = std::min(MiddleOf(std::move(waits)), of_returns);
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
