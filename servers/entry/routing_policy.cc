#include "servers/entry/routing_policy.h"

#include <algorithm>

namespace turmericshift {

double SlotUtilization(const TargetCandidate& candidate) {
  const int reported = candidate.load.running + candidate.load.queued;
  const int slots = std::max(1, candidate.load.slots);
  return static_cast<double>(std::max(reported, candidate.outstanding)) / slots;
}

}  // namespace turmericshift
