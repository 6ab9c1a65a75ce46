#include "servers/agent/planner_tracker.h"

#include <algorithm>

namespace turmericshift {
namespace {

// Number of entries that must report a failing log before the log itself is taken to be down.
constexpr size_t kEntriesThatAgree = 2;

}  // namespace

void PlannerTracker::HandleHeartbeatReply(const std::string& entry, const HeartbeatReply& reply,
                                          Time sent) {
  epoch_ = std::max(epoch_, reply.planner_epoch);
  if (reply.planner_active && reply.planner_epoch == epoch_) planner_last_seen_ = sent;
  known_entries_ = reply.entries.size();
  entries_[entry] = {sent, reply.jobs_freshness.failing};
  if (reply.jobs_freshness.age < Duration::zero()) return;
  const Time read_at = sent - reply.jobs_freshness.age;
  if (!jobs_read_at_ || read_at > *jobs_read_at_) jobs_read_at_ = read_at;
}

void PlannerTracker::RecordCall(Sequence epoch, Time now) {
  if (epoch < epoch_) return;
  epoch_ = epoch;
  planner_last_seen_ = now;
}

void PlannerTracker::RecordTaskEpoch(Sequence epoch) { epoch_ = std::max(epoch_, epoch); }

Duration PlannerTracker::silence(Time now) const {
  if (!planner_last_seen_) return Duration(-1);
  return std::max(Duration::zero(), now - *planner_last_seen_);
}

bool PlannerTracker::IsPlannerCurrent(Duration limit, Time now) const {
  if (!jobs_read_at_) return false;
  if (now - *jobs_read_at_ <= limit) return true;
  size_t failing_entries = 0;
  for (const auto& [entry, reply] : entries_) {
    if (now - reply.sent > limit) continue;
    if (!reply.failing) return false;
    ++failing_entries;
  }
  return failing_entries >= std::clamp(known_entries_, size_t{1}, kEntriesThatAgree);
}

}  // namespace turmericshift
