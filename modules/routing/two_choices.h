// Power of two choices (Mitzenmacher): of two targets picked at random, the one with the lower
// expected time. Its own zone's pick is taken unless another zone's is faster by more than the way
// there costs.
#pragma once

#include <map>
#include <mutex>
#include <random>

#include "servers/entry/routing_policy.h"

namespace turmericshift {

class TwoChoices : public RoutingPolicy {
 public:
  explicit TwoChoices(uint64_t seed) : random_(seed) {}
  size_t Choose(const std::vector<TargetCandidate>& candidates, const std::string& own_zone,
                Time now) override;
  void Observe(const std::string& agent, Duration latency, bool success, Time now) override;

 private:
  // The better of two picks among `places`, which is not empty.
  size_t PickBetter(const std::vector<TargetCandidate>& candidates,
                    const std::vector<size_t>& indices);
  // Expected time of a request sent there now, in seconds.
  double Score(const TargetCandidate& candidate) const;

  std::mutex mutex_;
  std::mt19937_64 random_;
  // Moving average of each target's answers, in seconds.
  std::map<std::string, double> latency_;
};

}  // namespace turmericshift
