// Who has a version of the document in force and who has not, by availability zone.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "servers/entry/agent_directory.h"
#include "servers/entry/peer_view.h"
#include "servers/state/record.h"

namespace turmericshift {

struct ZoneInForce {
  int agents = 0;
  int entries = 0;
  // Process names of entries that run an older version, and of agents that do or were not heard of
  // late.
  std::vector<std::string> behind;
  // Entries of which no agent has heard of late. Entries act through agents only, and read the log
  // before they serve again.
  std::vector<std::string> silent;
};

struct InForceReport {
  int64_t version = 0;
  std::map<std::string, ZoneInForce> zones;

  // Nobody known is behind or silent, and at least one process has it.
  bool complete() const;
  std::string ToJson() const;
};

// Heard of late: within this.
inline constexpr Duration kInForceMaxReportAge = std::chrono::seconds(5);

InForceReport ReportInForce(int64_t version, const std::vector<AgentState>& agents,
                            const std::vector<MemberJoined>& members,
                            const std::vector<PeerState>& peers, Time now);

}  // namespace turmericshift
