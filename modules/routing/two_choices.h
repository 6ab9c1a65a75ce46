// Power of two choices (Mitzenmacher): picks two targets at random and uses the target with the
// lower expected response time. A target in the entry's own zone is used unless the target in
// another zone is faster by more than the round trip between zones.
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
  // Returns the better of two random picks from `indices`, which must not be empty.
  size_t PickBetter(const std::vector<TargetCandidate>& candidates,
                    const std::vector<size_t>& indices);
  // The expected time of a request that is sent to the target now, in seconds.
  double Score(const TargetCandidate& candidate) const;

  std::mutex mutex_;
  std::mt19937_64 random_;
  // The moving average of each target's latency by agent, in seconds.
  std::map<std::string, double> latency_;
};

}  // namespace turmericshift
