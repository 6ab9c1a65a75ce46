#include "servers/pool/job_table.h"

#include <algorithm>
#include <utility>

#include "servers/learned/learned_state.h"

namespace turmericshift::pool {

bool JobTable::UpdateOffsetIfNewer(const KeyedRecord& record) {
  const auto known = offsets_.find(record.key);
  if (known != offsets_.end() && known->second >= record.offset) return false;
  // A deleted key's offset need not be stored: the key's older records are read before the
  // deletion.
  if (record.value.empty()) {
    offsets_.erase(record.key);
  } else {
    offsets_[record.key] = record.offset;
  }
  return true;
}

void JobTable::Apply(const KeyedRecord& record) {
  newest_offset_ = std::max(newest_offset_, record.offset);
  if (record.key == kHeartbeatKey) return;
  const Offset before = offsets_.count(record.key) > 0 ? offsets_[record.key] : kNoOffset;
  if (!UpdateOffsetIfNewer(record)) return;
  try {
    if (record.key == kPlannerKey) {
      planner_ = record.value.empty() ? PlannerRecord{} : DecodePlanner(record.value);
    } else if (record.key.rfind(kSpecPrefix, 0) == 0) {
      ApplySpec(record.key.substr(2), record);
    } else if (record.key.rfind(kProgressPrefix, 0) == 0) {
      ApplyProgress(record.key.substr(2), record);
    } else if (record.key.rfind(learned::kKeyPrefix, 0) == 0) {
      ApplyLearned(record.key.substr(2), record);
    }
  } catch (const Error&) {
    if (before == kNoOffset) offsets_.erase(record.key);
    throw;
  }
}

void JobTable::ApplySpec(const std::string& id, const KeyedRecord& record) {
  if (record.value.empty()) {
    jobs_.erase(id);
    return;
  }
  JobSpec spec = DecodeSpec(id, record.value);
  StoredJob& entry = jobs_[id];
  entry.spec = std::move(spec);
  const auto orphan = orphaned_progress_.find(id);
  if (orphan == orphaned_progress_.end()) return;
  entry.progress = std::move(orphan->second);
  orphaned_progress_.erase(orphan);
}

void JobTable::ApplyProgress(const std::string& id, const KeyedRecord& record) {
  if (record.value.empty()) {
    orphaned_progress_.erase(id);
    return;
  }
  JobProgress progress = DecodeProgress(record.value);
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) {
    orphaned_progress_[id] = std::move(progress);
    return;
  }
  found->second.progress = std::move(progress);
}

void JobTable::ApplyLearned(const std::string& name, const KeyedRecord& record) {
  if (record.value.empty()) {
    learned_.erase(name);
  } else {
    learned_[name] = record.value;
  }
}

const StoredJob* JobTable::Find(const std::string& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

int JobTable::Waiting(const std::string& queue) const {
  return static_cast<int>(std::count_if(jobs_.begin(), jobs_.end(), [&](const auto& row) {
    return row.second.spec.queue == queue && row.second.progress.state == JobState::kQueued;
  }));
}

}  // namespace turmericshift::pool
