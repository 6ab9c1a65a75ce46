// Power of two choices (Mitzenmacher): the less busy of two targets picked at random.
#pragma once

#include <mutex>
#include <random>

#include "servers/entry/routing_policy.h"

namespace turmericshift {

class TwoChoices : public RoutingPolicy {
 public:
  explicit TwoChoices(uint64_t seed) : random_(seed) {}
  size_t Choose(const std::vector<TargetCandidate>& candidates, const std::string& own_zone,
                Time now) override;

 private:
  std::mutex mutex_;
  std::mt19937_64 random_;
};

}  // namespace turmericshift
