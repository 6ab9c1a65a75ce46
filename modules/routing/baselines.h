// The baseline policies that other routing policies are compared with.
#pragma once

#include <atomic>

#include "servers/entry/routing_policy.h"

namespace turmericshift {

// Takes the targets in turn, regardless of their load.
class RoundRobin : public RoutingPolicy {
 public:
  size_t Choose(const std::vector<TargetCandidate>& candidates, const std::string& own_zone,
                Time now) override;

 private:
  std::atomic<size_t> next_{0};
};

// Chooses the least loaded target. Entries that share the same stale load data all choose the same
// target.
class LeastLoaded : public RoutingPolicy {
 public:
  size_t Choose(const std::vector<TargetCandidate>& candidates, const std::string& own_zone,
                Time now) override;
};

}  // namespace turmericshift
