#include "modules/routing/two_choices.h"

#include <algorithm>

namespace turmericshift {
namespace {

constexpr double kNewestWeight = 0.2;
// There and back between availability zones; 1.5 ms one way in the larger of today's deployments.
constexpr double kZoneCrossingSeconds = 0.003;
// Of a target that has not answered yet.
constexpr double kUnknownLatencySeconds = 0.001;

}  // namespace

size_t TwoChoices::Choose(const std::vector<TargetCandidate>& candidates,
                          const std::string& own_zone, Time /*now*/) {
  std::vector<size_t> near;
  std::vector<size_t> far;
  for (size_t place = 0; place < candidates.size(); ++place) {
    (candidates[place].zone == own_zone ? near : far).push_back(place);
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  if (near.empty()) return PickOf(candidates, far);
  const size_t own = PickOf(candidates, near);
  if (far.empty()) return own;
  const size_t other = PickOf(candidates, far);
  const double cost = Score(candidates[other]) + kZoneCrossingSeconds;
  return Score(candidates[own]) <= cost ? own : other;
}

void TwoChoices::Observe(const std::string& agent, Duration latency, bool well, Time /*now*/) {
  if (!well) return;
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto [slot, fresh] = latency_.try_emplace(agent, Seconds(latency));
  if (!fresh) slot->second += kNewestWeight * (Seconds(latency) - slot->second);
}

size_t TwoChoices::PickOf(const std::vector<TargetCandidate>& candidates,
                          const std::vector<size_t>& places) {
  std::uniform_int_distribution<size_t> any(0, places.size() - 1);
  const size_t first = places[any(random_)];
  const size_t second = places[any(random_)];
  return Score(candidates[second]) < Score(candidates[first]) ? second : first;
}

double TwoChoices::Score(const TargetCandidate& candidate) const {
  const auto known = latency_.find(candidate.agent);
  const double latency = known == latency_.end() ? kUnknownLatencySeconds : known->second;
  return latency * (1 + SlotUtilization(candidate));
}

}  // namespace turmericshift
