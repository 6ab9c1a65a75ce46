#include "servers/membership/standby.h"

#include <algorithm>

namespace turmericshift::membership {
namespace {

// A claim takes two answers of the store; the next entries in turn then see the new planner.
constexpr Duration kTurnInterval = std::chrono::milliseconds(50);
// Bounds the delay where most of the listed entries are gone.
constexpr Duration kMaxClaimTurn = std::chrono::milliseconds(600);

bool ComesBefore(const EntryRecord& left, const EntryRecord& right) {
  if (left.planning_capacity != right.planning_capacity) {
    return left.planning_capacity > right.planning_capacity;
  }
  return left.node < right.node;
}

}  // namespace

size_t RankInZone(const EntryRecord& self, const std::map<std::string, EntryRecord>& entries) {
  return static_cast<size_t>(std::count_if(entries.begin(), entries.end(), [&](const auto& row) {
    const EntryRecord& other = row.second;
    return other.node != self.node && other.zone == self.zone && ComesBefore(other, self);
  }));
}

bool IsStandby(size_t rank) { return rank < kStandbysPerZone; }

std::vector<EntryRecord> Standbys(const std::map<std::string, EntryRecord>& entries) {
  std::map<std::string, std::vector<EntryRecord>> by_zone;
  for (const auto& [node, entry] : entries) by_zone[entry.zone].push_back(entry);
  std::vector<EntryRecord> standbys;
  for (auto& [zone, members] : by_zone) {
    std::sort(members.begin(), members.end(), &ComesBefore);
    if (members.size() > kStandbysPerZone) members.resize(kStandbysPerZone);
    standbys.insert(standbys.end(), members.begin(), members.end());
  }
  return standbys;
}

Duration ClaimTurn(size_t rank) {
  return std::min(kTurnInterval * static_cast<int64_t>(rank / kStandbysPerZone), kMaxClaimTurn);
}

bool PlannerSeemsSilent(Time read_at, Time newest_record_at, Duration silence_timeout) {
  return read_at - newest_record_at > silence_timeout;
}

}  // namespace turmericshift::membership
