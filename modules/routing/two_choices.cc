#include "modules/routing/two_choices.h"

#include <algorithm>

namespace turmericshift {
namespace {

constexpr double kNewestWeight = 0.2;
// The round trip between availability zones: 1.5 ms one way in the larger of today's deployments.
constexpr double kZoneRoundTripSeconds = 0.003;
// The assumed latency of a target that has not answered yet.
constexpr double kInitialLatencySeconds = 0.001;

}  // namespace

size_t TwoChoices::Choose(const std::vector<TargetCandidate>& candidates,
                          const std::string& own_zone, Time /*now*/) {
  std::vector<size_t> local;
  std::vector<size_t> remote;
  for (size_t index = 0; index < candidates.size(); ++index) {
    (candidates[index].zone == own_zone ? local : remote).push_back(index);
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  if (local.empty()) return PickBetter(candidates, remote);
  const size_t local_pick = PickBetter(candidates, local);
  if (remote.empty()) return local_pick;
  const size_t remote_pick = PickBetter(candidates, remote);
  const double cost = Score(candidates[remote_pick]) + kZoneRoundTripSeconds;
  return Score(candidates[local_pick]) <= cost ? local_pick : remote_pick;
}

void TwoChoices::Observe(const std::string& agent, Duration latency, bool success, Time /*now*/) {
  if (!success) return;
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto [average, inserted] = latency_.try_emplace(agent, Seconds(latency));
  if (!inserted) average->second += kNewestWeight * (Seconds(latency) - average->second);
}

size_t TwoChoices::PickBetter(const std::vector<TargetCandidate>& candidates,
                              const std::vector<size_t>& indices) {
  std::uniform_int_distribution<size_t> any(0, indices.size() - 1);
  const size_t first = indices[any(random_)];
  const size_t second = indices[any(random_)];
  return Score(candidates[second]) < Score(candidates[first]) ? second : first;
}

double TwoChoices::Score(const TargetCandidate& candidate) const {
  const auto known = latency_.find(candidate.agent);
  const double latency = known == latency_.end() ? kInitialLatencySeconds : known->second;
  return latency * (1 + SlotUtilization(candidate));
}

}  // namespace turmericshift
