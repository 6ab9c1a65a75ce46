#include "servers/agent/session_plan.h"

#include <algorithm>

namespace turmericshift {
namespace {

constexpr Duration kMinBackoff = std::chrono::milliseconds(250);
constexpr Duration kMaxBackoff = std::chrono::seconds(5);
constexpr int kMaxDoublings = 6;

// Scores of what a session provides and no other session of the agent does.
constexpr int kPlannerScore = 8;
constexpr int kOwnZoneScore = 4;
constexpr int kNewZoneScore = 2;

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

void SessionPlan::UpdateEntries(const std::vector<EntryMember>& members,
                                const std::string& planner) {
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
  const std::vector<const Entry*> others = InUseExcept("");
  Entry* best = nullptr;
  int best_score = 0;
  for (auto& [address, entry] : entries_) {
    if (entry.in_use || now < entry.retry_at) continue;
    const int score = Score(entry, others);
    // Ties are broken randomly, so that agents spread over the entries.
    const bool better =
        best == nullptr || score > best_score || (score == best_score && random_() % 2 == 0);
    if (!better) continue;
    best = &entry;
    best_score = score;
  }
  if (best == nullptr) return "";
  // With enough sessions, one more is opened only if it scores higher than an existing one. The
  // session with the lowest score is closed after the new one is connected, never before.
  if (others.size() >= max_sessions_ && (best_score == 0 || others.size() > max_sessions_)) {
    return "";
  }
  if (others.size() >= max_sessions_) {
    int least = best_score;
    for (const Entry* other : others) {
      least = std::min(least, Score(*other, InUseExcept(other->member.address)));
    }
    if (least >= best_score) return "";
  }
  best->in_use = true;
  return best->member.address;
}

void SessionPlan::MarkOpened(const std::string& address) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Entry& entry = entries_[address];
  entry.open = true;
  entry.failures = 0;
}

void SessionPlan::MarkLost(const std::string& address, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Entry& entry = entries_[address];
  entry.in_use = false;
  entry.open = false;
  const Duration max_backoff =
      std::min(kMinBackoff * (1 << std::min(entry.failures, kMaxDoublings)), kMaxBackoff);
  ++entry.failures;
  entry.retry_at = now + Duration(std::uniform_int_distribution<int64_t>(
                             max_backoff.count() / 4, max_backoff.count())(random_));
  if (!entry.listed && !entry.configured && entry.failures > kMaxDoublings) {
    entries_.erase(address);
  }
}

bool SessionPlan::ShouldKeep(const std::string& address) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<const Entry*> open;
  for (const auto& [each, entry] : entries_) {
    if (entry.open) open.push_back(&entry);
  }
  if (open.size() <= max_sessions_) return true;
  const Entry* least = nullptr;
  int lowest_score = 0;
  for (const Entry* entry : open) {
    std::vector<const Entry*> others = open;
    std::erase(others, entry);
    const int score = Score(*entry, others);
    if (least != nullptr && score >= lowest_score) continue;
    least = entry;
    lowest_score = score;
  }
  return least->member.address != address;
}

void SessionPlan::MarkReleased(const std::string& address) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Entry& entry = entries_[address];
  entry.in_use = false;
  entry.open = false;
}

int SessionPlan::Score(const Entry& entry, const std::vector<const Entry*>& others) const {
  const std::string& zone = entry.member.zone;
  const bool zone_taken = std::any_of(others.begin(), others.end(), [&](const Entry* other) {
    return !zone.empty() && other->member.zone == zone;
  });
  int score = 0;
  if (!planner_.empty() && entry.member.address == planner_) score += kPlannerScore;
  if (zone == zone_ && !zone_taken) score += kOwnZoneScore;
  if (!zone_taken) score += kNewZoneScore;
  return score;
}

std::vector<const SessionPlan::Entry*> SessionPlan::InUseExcept(const std::string& address) const {
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
