#include "servers/entry/in_force.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace turmericshift {

bool InForceReport::complete() const {
  return !zones.empty() && std::all_of(zones.begin(), zones.end(), [](const auto& zone) {
    return zone.second.behind.empty() && zone.second.silent.empty();
  });
}

std::string InForceReport::ToJson() const {
  nlohmann::json list = nlohmann::json::object();
  for (const auto& [name, zone] : zones) {
    list[name] = {{"agents_in_force", zone.agents},
                  {"entries_in_force", zone.entries},
                  {"behind", zone.behind},
                  {"silent", zone.silent}};
  }
  return nlohmann::json({{"version", version}, {"complete", complete()}, {"zones", list}}).dump();
}

InForceReport ReportInForce(int64_t version, const std::vector<AgentState>& agents,
                            const std::vector<MemberJoined>& members,
                            const std::vector<PeerState>& peers, Time now) {
  InForceReport report;
  report.version = version;
  for (const AgentState& agent : agents) {
    ZoneInForce& zone = report.zones[agent.hello.zone];
    const bool in_force =
        agent.beat.config_version >= version && now - agent.last_contact_at <= kInForceMaxReportAge;
    if (in_force) {
      ++zone.agents;
    } else {
      zone.behind.push_back(agent.hello.process);
    }
  }
  for (const MemberJoined& member : members) {
    ZoneInForce& zone = report.zones[member.zone];
    const auto peer = std::find_if(peers.begin(), peers.end(), [&](const PeerState& each) {
      return each.entry.process == member.process && now - each.last_seen <= kInForceMaxReportAge;
    });
    if (peer == peers.end()) {
      zone.silent.push_back(member.process);
    } else if (peer->config_version >= version) {
      ++zone.entries;
    } else {
      zone.behind.push_back(member.process);
    }
  }
  return report;
}

}  // namespace turmericshift
