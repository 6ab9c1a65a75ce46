#include "modules/routing/baselines.h"

#include <algorithm>

namespace turmericshift {

size_t RoundRobin::Choose(const std::vector<TargetCandidate>& candidates,
                          const std::string& /*own_zone*/, Time /*now*/) {
  return next_.fetch_add(1) % candidates.size();
}

size_t LeastLoaded::Choose(const std::vector<TargetCandidate>& candidates,
                           const std::string& /*own_zone*/, Time /*now*/) {
  const auto least = std::min_element(candidates.begin(), candidates.end(),
                                      [](const TargetCandidate& a, const TargetCandidate& b) {
                                        return SlotUtilization(a) < SlotUtilization(b);
                                      });
  return static_cast<size_t>(least - candidates.begin());
}

}  // namespace turmericshift
