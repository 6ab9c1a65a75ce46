#include <algorithm>

#include "servers/agent/planner_tracker.h"

namespace turmericshift {
namespace {

// Entries whose agreement shows that the log itself is down.
constexpr size_t kWitnesses = 2;

}  // namespace

void PlannerWatch::HandleHeartbeatReply(const std::string& entry, const EntryBeat& beat,
                                        Time sent) {
  epoch_ = std::max(epoch_, beat.planner_epoch);
  if (beat.planner_active && beat.planner_epoch == epoch_) planner_heard_ = sent;
  known_entries_ = beat.entries.size();
  entries_[entry] = {sent, beat.jobs_freshness.failing};
  if (beat.jobs_freshness.age < Duration::zero()) return;
  const Time fresh = sent - beat.jobs_freshness.age;
  if (!fresh_at_ || fresh > *fresh_at_) fresh_at_ = fresh;
}

void PlannerWatch::Called(Sequence epoch, Time now) {
  if (epoch < epoch_) return;
  epoch_ = epoch;
  planner_heard_ = now;
}

void PlannerWatch::Found(Sequence epoch) { epoch_ = std::max(epoch_, epoch); }

Duration PlannerWatch::silence(Time now) const {
  if (!planner_heard_) return Duration(-1);
  return std::max(Duration::zero(), now - *planner_heard_);
}

bool PlannerWatch::Trusts(Duration limit, Time now) const {
  if (!fresh_at_) return false;
  if (now - *fresh_at_ <= limit) return true;
  size_t witnesses = 0;
  for (const auto& [entry, heard] : entries_) {
    if (now - heard.heard > limit) continue;
    if (!heard.failing) return false;
    ++witnesses;
  }
  return witnesses >= std::clamp(known_entries_, size_t{1}, kWitnesses);
}

}  // namespace turmericshift
