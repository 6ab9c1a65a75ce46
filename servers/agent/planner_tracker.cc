#include "servers/agent/planner_tracker.h"

#include <algorithm>

namespace turmericshift {
namespace {

// Number of entries that must report a failing log before the log itself is taken to be down.
constexpr size_t kEntriesThatAgree = 2;

}  // namespace

void PlannerTracker::HandleHeartbeatReply(const std::string& entry, const EntryBeat& beat,
                                          Time sent) {
  epoch_ = std::max(epoch_, beat.planner_epoch);
  if (beat.planner_active && beat.planner_epoch == epoch_) planner_heard_ = sent;
  known_entries_ = beat.entries.size();
  entries_[entry] = {sent, beat.jobs_freshness.failing};
  if (beat.jobs_freshness.age < Duration::zero()) return;
  const Time fresh = sent - beat.jobs_freshness.age;
  if (!fresh_at_ || fresh > *fresh_at_) fresh_at_ = fresh;
}

void PlannerTracker::RecordCall(Sequence epoch, Time now) {
  if (epoch < epoch_) return;
  epoch_ = epoch;
  planner_heard_ = now;
}

void PlannerTracker::RecordTaskEpoch(Sequence epoch) { epoch_ = std::max(epoch_, epoch); }

Duration PlannerTracker::silence(Time now) const {
  if (!planner_heard_) return Duration(-1);
  return std::max(Duration::zero(), now - *planner_heard_);
}

bool PlannerTracker::IsPlannerCurrent(Duration limit, Time now) const {
  if (!fresh_at_) return false;
  if (now - *fresh_at_ <= limit) return true;
  size_t agreeing = 0;
  for (const auto& [entry, heard] : entries_) {
    if (now - heard.heard > limit) continue;
    if (!heard.failing) return false;
    ++agreeing;
  }
  return agreeing >= std::clamp(known_entries_, size_t{1}, kEntriesThatAgree);
}

}  // namespace turmericshift
