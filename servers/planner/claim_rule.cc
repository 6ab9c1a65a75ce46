#include "servers/planner/claim_rule.h"

#include <functional>

namespace turmericshift {
namespace {

// Agents that have not reported to this entry for this long are ignored.
constexpr Duration kMaxAgentAge = std::chrono::seconds(3);
// Entries of other zones let the zone's own entries claim first. The delays of these entries also
// differ by a hash of entry and zone name, so that the entries don't all claim at the same time and
// each entry claims only a few of the zones.
constexpr Duration kOtherZoneClaimDelay = std::chrono::milliseconds(500);
constexpr Duration kMaxClaimStagger = std::chrono::milliseconds(1000);
constexpr size_t kClaimStaggerSteps = 20;

Duration ClaimDelay(const std::string& process, const std::string& own_zone,
                    const std::string& zone) {
  if (own_zone == zone) return Duration::zero();
  const size_t step = std::hash<std::string>()(process + "/" + zone) % kClaimStaggerSteps;
  return kOtherZoneClaimDelay +
         kMaxClaimStagger * static_cast<int>(step) / static_cast<int>(kClaimStaggerSteps);
}

}  // namespace

ClaimRule::ClaimRule(const std::string& process, const std::string& own_zone,
                     const std::string& zone)
    : process_(process), claim_delay_(ClaimDelay(process, own_zone, zone)) {}

bool ClaimRule::ShouldClaim(const PlannerEpoch& leader, const std::vector<AgentState>& agents,
                            Time now) {
  const bool changed = leader.process != leader_.process || leader.epoch != leader_.epoch;
  if (changed || leader_since_ == Time()) {
    leader_ = leader;
    leader_since_ = now;
  }
  // The leader is an earlier incarnation of this entry, which can't be active any more.
  if (leader.process == process_) return true;
  if (!leader.process.empty() && !LeaderIsSilent(agents, now)) {
    claimable_since_.reset();
    return false;
  }
  if (!claimable_since_) claimable_since_ = now;
  return now - *claimable_since_ >= claim_delay_;
}

bool ClaimRule::LeaderIsSilent(const std::vector<AgentState>& agents, Time now) const {
  // Agents have not yet received heartbeats from a planner that has only just claimed.
  if (now - leader_since_ < kPlannerTimeout) return false;
  size_t reporting = 0;
  size_t silent = 0;
  for (const AgentState& agent : agents) {
    const Duration age = now - agent.last_contact_at;
    if (agent.hello.worker.processors == 0 || age > kMaxAgentAge) continue;
    ++reporting;
    const bool never = agent.beat.planner_silence < Duration::zero();
    if (never || agent.beat.planner_silence + age >= kPlannerTimeout) ++silent;
  }
  return silent * 2 > reporting;
}

}  // namespace turmericshift
