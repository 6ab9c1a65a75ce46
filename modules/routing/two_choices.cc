#include "modules/routing/two_choices.h"

#include <algorithm>

namespace turmericshift {
namespace {

// Load as this entry sees it: what the target last said, or what this entry knows it has sent.
int Busyness(const TargetCandidate& candidate) {
  return std::max(candidate.load.running + candidate.load.queued, candidate.outstanding);
}

}  // namespace

size_t TwoChoices::Choose(const std::vector<TargetCandidate>& candidates,
                          const std::string& /*own_zone*/, Time /*now*/) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::uniform_int_distribution<size_t> any(0, candidates.size() - 1);
  const size_t first = any(random_);
  const size_t second = any(random_);
  return Busyness(candidates[second]) < Busyness(candidates[first]) ? second : first;
}

}  // namespace turmericshift
