// Reports by availability zone which processes have a version of the environment document in force.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "servers/entry/agent_directory.h"
#include "servers/entry/peer_view.h"
#include "servers/state/record.h"

namespace turmericshift {

struct ZoneInForce {
  // Number of agents and of entries that have the version in force.
  int agents = 0;
  int entries = 0;
  // Names of processes that have an older version, and of agents without a recent heartbeat.
  std::vector<std::string> behind;
  // Names of entries from which no agent has received an answer recently. An older version at these
  // entries does no harm: entries act only through agents, and read the log before they serve
  // again.
  std::vector<std::string> silent;
};

struct InForceReport {
  int64_t version = 0;
  std::map<std::string, ZoneInForce> zones;

  // True if no known process is behind or silent and at least one process is known.
  bool complete() const;
  std::string ToJson() const;
};

// Heartbeats of agents, and reports about entries, are recent up to this age.
inline constexpr Duration kInForceMaxReportAge = std::chrono::seconds(5);

InForceReport ReportInForce(int64_t version, const std::vector<AgentState>& agents,
                            const std::vector<MemberJoined>& members,
                            const std::vector<PeerState>& peers, Time now);

}  // namespace turmericshift
