#include "servers/state/state_replica.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "core/error.h"

namespace turmericshift {
namespace {

constexpr size_t kRecentVerdicts = 256;

}  // namespace

void StateReplica::RecentVerdicts::Add(const std::string& id, const WriteResult& written) {
  known_[id] = written;
  order_.push_back(id);
  if (order_.size() <= kRecentVerdicts) return;
  known_.erase(order_.front());
  order_.pop_front();
}

const WriteResult* StateReplica::RecentVerdicts::Find(const std::string& id) const {
  const auto found = known_.find(id);
  return found == known_.end() ? nullptr : &found->second;
}

std::vector<AppliedRecord> StateReplica::Apply(const LogEntry& entry) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<AppliedRecord> applied;
  duplicates_.clear();
  for (const PlacedRecord& placed : DecodeRecords(entry.bytes)) {
    const std::string& id = RecordId(placed.record);
    if (!window_.Add(id)) {
      if (const WriteResult* first = recent_.Find(id)) duplicates_.push_back({id, *first});
      continue;
    }
    const Sequence sequence = SequenceOf(entry.offset, placed.place);
    if (const auto* part = std::get_if<SnapshotPart>(&placed.record)) {
      if (const auto complete = assembler_.Add(*part)) {
        newest_snapshot_ = {complete->covers, complete->wall_ms, ""};
      }
      applied.push_back({id, {sequence, {}}});
      continue;
    }
    applied.push_back({id, {sequence, replicated_state_->Apply(placed.record, sequence)}});
    recent_.Add(id, applied.back().written);
  }
  next_ = entry.offset + 1;
  return applied;
}

std::vector<AppliedRecord> StateReplica::TakeDuplicates() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return std::exchange(duplicates_, {});
}

SnapshotState StateReplica::TakeSnapshot(int64_t wall_ms) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const nlohmann::json state = {{"fold", replicated_state_->Snapshot()},
                                {"window", window_.Snapshot()}};
  return {next_, wall_ms, state.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

void StateReplica::Restore(const SnapshotState& snapshot) {
  const std::lock_guard<std::mutex> lock(mutex_);
  try {
    const nlohmann::json state = nlohmann::json::parse(snapshot.bytes);
    replicated_state_->Restore(state.at("fold"));
    window_.Restore(state.at("window"));
  } catch (const std::exception& error) {
    throw Error(ErrorKind::kInvalidInput,
                "snapshot of stream " + stream_ + " is unreadable: " + error.what());
  }
  next_ = snapshot.covers;
  newest_snapshot_ = {snapshot.covers, snapshot.wall_ms, ""};
}

Offset StateReplica::next() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return next_;
}

void StateReplica::StartAt(Offset offset) {
  const std::lock_guard<std::mutex> lock(mutex_);
  next_ = offset;
}

SnapshotState StateReplica::newest_snapshot() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return newest_snapshot_;
}

}  // namespace turmericshift
