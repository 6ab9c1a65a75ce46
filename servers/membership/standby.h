// Which entries stand by to plan the pool, and in which order entries claim the leadership.
//
// Load pattern: hundreds of entries of which one plans. If all of them followed the planner's
// records, the calls to the store would grow with the product of entries and records, and all would
// race for the leadership when the planner fails. A few standbys in each zone follow closely and
// claim at once; the other entries look rarely and take over only where the standbys don't.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "servers/membership/member_records.h"

namespace turmericshift::membership {

// Standbys in each zone: with two, the loss of any one entry and of all other zones leaves one.
inline constexpr size_t kStandbysPerZone = 2;

// Number of entries in the zone of `self` that come before it: those that can plan for more agents
// and, among equals, those whose node comes first. An entry that is gone counts while it is listed.
size_t RankInZone(const EntryRecord& self, const std::map<std::string, EntryRecord>& entries);

// Whether an entry of this rank stands by.
bool IsStandby(size_t rank);
// The entries that stand by, those of each zone together.
std::vector<EntryRecord> Standbys(const std::map<std::string, EntryRecord>& entries);

// How much longer than a standby an entry of this rank waits before it claims the leadership, so
// that only a few entries claim at the same time.
Duration ClaimTurn(size_t rank);

// Whether the planner seems to have failed, as seen by an entry that does not stand by: the read
// sent at `read_at` found no record newer than the one read at `newest_record_at`, for longer than
// `silence_timeout`. Time since the read does not count, since the entry has not looked.
bool PlannerSeemsSilent(Time read_at, Time newest_record_at, Duration silence_timeout);

}  // namespace turmericshift::membership
