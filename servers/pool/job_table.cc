#include "servers/pool/job_table.h"

#include <algorithm>
#include <utility>

#include "servers/learned/learned_state.h"
#include "servers/pool/progress_parts.h"

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
    } else if (record.key.rfind(kPartPrefix, 0) == 0) {
      ApplyPart(record);
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
  static_cast<StoredProgress&>(entry) = std::move(orphan->second);
  orphaned_progress_.erase(orphan);
}

StoredProgress& JobTable::ProgressOf(const std::string& id) {
  const auto found = jobs_.find(id);
  return found != jobs_.end() ? found->second : orphaned_progress_[id];
}

void JobTable::ApplyProgress(const std::string& id, const KeyedRecord& record) {
  if (record.value.empty()) {
    orphaned_progress_.erase(id);
    return;
  }
  JobProgress progress = DecodeProgress(record.value);
  StoredProgress& stored = ProgressOf(id);
  stored.has_own_tasks =
      !progress.done.empty() || !progress.failures.empty() || !progress.checkpoints.empty();
  if (!stored.parts.empty()) MergeTasks(stored.progress, &progress);
  stored.progress = std::move(progress);
}

void JobTable::ApplyPart(const KeyedRecord& record) {
  const PartName name = ParsePartKey(record.key);
  if (record.value.empty()) {
    const auto found = jobs_.find(name.id);
    if (found != jobs_.end()) found->second.parts.erase(name.part);
    return;
  }
  const JobProgress tasks = DecodeProgress(record.value);
  StoredProgress& stored = ProgressOf(name.id);
  stored.parts.insert(name.part);
  MergeTasks(tasks, &stored.progress);
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
    return row.second.spec.queue == queue &&
           row.second.progress.visible_state() == JobState::kQueued;
  }));
}

}  // namespace turmericshift::pool
