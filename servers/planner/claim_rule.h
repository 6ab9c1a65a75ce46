// Decides when an entry should claim the leadership of a zone's planning. The decision rests on the
// planner silence that agents report in their heartbeats and not on the log's availability, because
// the log has outages. docs/notes/planner-duty.md explains the rule.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "servers/entry/agent_directory.h"
#include "servers/state/replicated_jobs.h"

namespace turmericshift {

// A planner is presumed dead when most of its zone's agents have not received a heartbeat from it
// for this long.
inline constexpr Duration kPlannerTimeout = std::chrono::seconds(3);

class ClaimRule {
 public:
  // `process` in `own_zone` is the entry that may claim the leadership of `zone`.
  ClaimRule(const std::string& process, const std::string& own_zone, const std::string& zone);

  // `leader` is the planner that the replicated state names; `agents` are the zone's agents as
  // known to this entry.
  bool ShouldClaim(const PlannerEpoch& leader, const std::vector<AgentState>& agents, Time now);

 private:
  bool LeaderIsSilent(const std::vector<AgentState>& agents, Time now) const;

  const std::string process_;
  // How long this entry waits before it claims. Zero if the entry is in the zone; entries of other
  // zones wait, so that the zone's own entries claim first.
  const Duration claim_delay_;
  PlannerEpoch leader_;
  // When this entry first saw `leader_` in the replicated state.
  Time leader_since_{};
  std::optional<Time> claimable_since_;
};

}  // namespace turmericshift
