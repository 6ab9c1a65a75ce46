#include "servers/agent/session_plan.h"

#include <algorithm>

namespace turmericshift {
namespace {

constexpr Duration kFirstPause = std::chrono::milliseconds(250);
constexpr Duration kLongestPause = std::chrono::seconds(5);
constexpr int kMostDoublings = 6;

// Worth of a session, by what it is the only one to give.
constexpr int kIsPlanner = 8;
constexpr int kOwnZone = 4;
constexpr int kNewZone = 2;

}  // namespace

SessionPlan::SessionPlan(const std::string& zone, int max_sessions,
                         const std::vector<std::string>& configured, uint64_t seed)
    : zone_(zone), max_sessions_(static_cast<size_t>(max_sessions)) {
  random_.seed(static_cast<std::minstd_rand::result_type>(seed));
  for (const std::string& address : configured) {
    Entry& entry = entries_[address];
    entry.member.address = address;
    entry.configured = true;
  }
}

void SessionPlan::Learn(const std::vector<EntryMember>& members, const std::string& planner) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!planner.empty()) planner_ = planner;
  if (members.empty()) return;
  members_ = members;
  for (auto& [address, entry] : entries_) entry.listed = false;
  for (const EntryMember& member : members) {
    if (member.address.empty()) continue;
    Entry& entry = entries_[member.address];
    entry.member = member;
    entry.listed = true;
  }
  std::erase_if(entries_, [](const auto& each) {
    const Entry& entry = each.second;
    return !entry.listed && !entry.configured && !entry.in_use;
  });
}

std::string SessionPlan::Choose(Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::vector<const Entry*> others = InUseBut("");
  Entry* best = nullptr;
  int best_worth = 0;
  for (auto& [address, entry] : entries_) {
    if (entry.in_use || now < entry.not_before) continue;
    const int worth = Worth(entry, others);
    // Equal ones are drawn, so that the fleet spreads over the entries.
    const bool better =
        best == nullptr || worth > best_worth || (worth == best_worth && random_() % 2 == 0);
    if (!better) continue;
    best = &entry;
    best_worth = worth;
  }
  if (best == nullptr) return "";
  // Beyond enough sessions, one more is tried only for what no session gives; the least of the old
  // ones ends when it stands, never before.
  if (others.size() >= max_sessions_ && (best_worth == 0 || others.size() > max_sessions_)) {
    return "";
  }
  if (others.size() >= max_sessions_) {
    int least = best_worth;
    for (const Entry* other : others) {
      least = std::min(least, Worth(*other, InUseBut(other->member.address)));
    }
    if (least >= best_worth) return "";
  }
  best->in_use = true;
  return best->member.address;
}

void SessionPlan::Opened(const std::string& address) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Entry& entry = entries_[address];
  entry.open = true;
  entry.failures = 0;
}

void SessionPlan::Lost(const std::string& address, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Entry& entry = entries_[address];
  entry.in_use = false;
  entry.open = false;
  const Duration longest =
      std::min(kFirstPause * (1 << std::min(entry.failures, kMostDoublings)), kLongestPause);
  ++entry.failures;
  entry.not_before = now + Duration(std::uniform_int_distribution<int64_t>(
                               longest.count() / 4, longest.count())(random_));
  if (!entry.listed && !entry.configured && entry.failures > kMostDoublings) {
    entries_.erase(address);
  }
}

bool SessionPlan::StillWanted(const std::string& address) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<const Entry*> open;
  for (const auto& [each, entry] : entries_) {
    if (entry.open) open.push_back(&entry);
  }
  if (open.size() <= max_sessions_) return true;
  const Entry* least = nullptr;
  int least_worth = 0;
  for (const Entry* entry : open) {
    std::vector<const Entry*> others = open;
    std::erase(others, entry);
    const int worth = Worth(*entry, others);
    if (least != nullptr && worth >= least_worth) continue;
    least = entry;
    least_worth = worth;
  }
  return least->member.address != address;
}

void SessionPlan::Released(const std::string& address) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Entry& entry = entries_[address];
  entry.in_use = false;
  entry.open = false;
}

int SessionPlan::Worth(const Entry& entry, const std::vector<const Entry*>& others) const {
  const std::string& zone = entry.member.zone;
  const bool zone_taken = std::any_of(others.begin(), others.end(), [&](const Entry* other) {
    return !zone.empty() && other->member.zone == zone;
  });
  int worth = 0;
  if (!planner_.empty() && entry.member.address == planner_) worth += kIsPlanner;
  if (zone == zone_ && !zone_taken) worth += kOwnZone;
  if (!zone_taken) worth += kNewZone;
  return worth;
}

std::vector<const SessionPlan::Entry*> SessionPlan::InUseBut(const std::string& address) const {
  std::vector<const Entry*> result;
  for (const auto& [each, entry] : entries_) {
    if (entry.in_use && each != address) result.push_back(&entry);
  }
  return result;
}

int64_t SessionPlan::members_digest() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return DigestMembers(members_);
}

std::vector<std::string> SessionPlan::addresses() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> result;
  for (const auto& [address, entry] : entries_) {
    if (entry.listed || members_.empty()) result.push_back(address);
  }
  return result;
}

}  // namespace turmericshift
