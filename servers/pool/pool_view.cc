#include "servers/pool/pool_view.h"

#include <algorithm>
#include <utility>

#include "core/logging.h"
#include "core/units.h"

namespace turmericshift::pool {
namespace {

// Spaces out the reads of a topic that changes constantly. Up to 60 entries this limits them to
// about 500 reads per second together; beyond that the number of entries that follow the topic
// closely has to be limited (membership/standby.h).
constexpr Duration kReadIntervalPerReader = std::chrono::milliseconds(2);
// Delays the observation of a planner's heartbeat by at most this, so it must stay well below the
// silence time-out.
constexpr Duration kMaxReadInterval = std::chrono::milliseconds(120);
// Without this interval, when all processes start, every process would read each member's record
// separately.
constexpr Duration kReadIntervalPerMember = std::chrono::milliseconds(1);
constexpr Duration kMaxMembersReadInterval = std::chrono::milliseconds(300);

Duration ReadIntervalFor(size_t count, Duration each, Duration longest) {
  return std::min(each * static_cast<int64_t>(count), longest);
}

constexpr int64_t kMaxPort = 65535;

// Decodes a planner's announcement. Throws Error(kInvalidInput) as well for an epoch that no
// planner can have and an address that nothing can listen at. Records of the work topic are not
// checked so: a claim over one is better than none.
PlannerRecord DecodeAnnouncement(const std::string& bytes) {
  PlannerRecord planner = DecodePlanner(bytes);
  if (planner.epoch <= 0 || planner.epoch >= membership::kEpochLimit) {
    throw Error(ErrorKind::kInvalidInput, "no planner can have this epoch");
  }
  ParseInteger(planner.address.substr(planner.address.rfind(':') + 1), 1, kMaxPort);
  return planner;
}

void LogSkippedRecord(const char* topic, const KeyedRecord& record, const Error& error) {
  LogEvent(
      LogLevel::kWarning, "record_skipped",
      {{"topic", topic}, {"key", record.key}, {"offset", record.offset}, {"error", error.what()}});
}

}  // namespace

WorkView::WorkView(KeyedLog* log, Duration idle_interval) {
  FollowerOptions options;
  options.topic = kWorkTopic;
  options.idle_interval = idle_interval;
  options.read_gap = [this] {
    return ReadIntervalFor(readers_.load(), kReadIntervalPerReader, kMaxReadInterval);
  };
  follower_ = std::make_unique<TopicFollower>(
      options, log, [this](const KeyedRecord& record) { ApplyRecord(record); },
      [this](Offset end, Time requested_at) { CaughtUp(end, requested_at); },
      [this] { Restart(); });
}

void WorkView::Restart() {
  const std::lock_guard<std::mutex> lock(mutex_);
  rebuilding_.emplace();
}

void WorkView::ApplyRecord(const KeyedRecord& record) {
  const std::lock_guard<std::mutex> lock(mutex_);
  newest_record_at_ = LeaseClock().Now();
  try {
    (rebuilding_ ? *rebuilding_ : table_).Apply(record);
  } catch (const Error& error) {
    LogSkippedRecord(kWorkTopic, record, error);
  }
}

void WorkView::CaughtUp(Offset end, Time requested_at) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (rebuilding_) {
    table_ = std::move(*rebuilding_);
    rebuilding_.reset();
    // An empty topic has no record that tells when a planner was last active.
    newest_record_at_ = LeaseClock().Now();
  }
  end_ = end;
  freshness_.requested_at = requested_at;
}

LeadershipView WorkView::leadership() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return LeadershipLocked();
}

LeadershipView WorkView::LeadershipLocked() const {
  return {table_.planner(), end_, freshness_, newest_record_at_};
}

JobTable WorkView::table(LeadershipView* leadership) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  *leadership = LeadershipLocked();
  return table_;
}

std::optional<JobState> WorkView::StateOf(const std::string& id) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const StoredJob* entry = table_.Find(id);
  if (entry == nullptr) return std::nullopt;
  return entry->progress.visible_state();
}

int WorkView::Waiting(const std::string& queue) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return table_.Waiting(queue);
}

Freshness WorkView::freshness() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return freshness_;
}

OperatorView::OperatorView(KeyedLog* log, std::unique_ptr<OperatorDecoder> decoder,
                           Duration idle_wait)
    : decoder_(std::move(decoder)), state_(std::make_shared<OperatorState>()) {
  FollowerOptions options;
  options.topic = decoder_->topic();
  options.idle_wait = idle_wait;
  follower_ = std::make_unique<TopicFollower>(
      options, log, [this](const KeyedRecord& record) { ApplyRecord(record); },
      [this](Offset end, Time requested_at) { CaughtUp(end, requested_at); },
      [this] {
        const std::lock_guard<std::mutex> lock(mutex_);
        // Zones may have been put back into service in the meantime. The document is kept, because
        // versions never go back.
        next_.zones_out.clear();
        changed_ = true;
      });
}

void OperatorView::ApplyRecord(const KeyedRecord& record) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const int64_t previous_version = next_.config.version;
  try {
    OperatorState state = next_;
    decoder_->Apply(record, &state);
    if (state.config.version < previous_version) state.config = next_.config;
    next_ = std::move(state);
    changed_ = true;
  } catch (const Error& error) {
    LogSkippedRecord("operators", record, error);
    return;
  }
  LogEvent(LogLevel::kInfo, "operators_said",
           {{"key", record.key},
            {"offset", record.offset},
            {"version", next_.config.version},
            {"zones_out", next_.zones_out}});
}

void OperatorView::CaughtUp(Offset /*end*/, Time requested_at) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (changed_) state_ = std::make_shared<const OperatorState>(next_);
  changed_ = false;
  freshness_.requested_at = requested_at;
}

std::shared_ptr<const OperatorState> OperatorView::state() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return state_;
}

Freshness OperatorView::freshness() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return freshness_;
}

MembersView::MembersView(KeyedLog* log, Duration wait, Duration idle_interval,
                         FirstRead first_read) {
  FollowerOptions options;
  options.first_read = first_read;
  options.topic = kMembersTopic;
  options.idle_interval = idle_interval;
  options.poll_wait = wait;
  options.read_gap = [this] {
    return ReadIntervalFor(size(), kReadIntervalPerMember, kMaxMembersReadInterval);
  };
  follower_ = std::make_unique<TopicFollower>(
      options, log, [this](const KeyedRecord& record) { ApplyRecord(record); },
      [this](Offset end, Time requested_at) { CaughtUp(end, requested_at); },
      [this] {
        const std::lock_guard<std::mutex> lock(mutex_);
        agents_.clear();
        entries_.clear();
      });
}

void MembersView::CaughtUp(Offset end, Time requested_at) {
  const std::lock_guard<std::mutex> lock(mutex_);
  freshness_.requested_at = requested_at;
  if (membership_->end == end && end > 0) return;
  membership_ = std::make_shared<const Membership>(
      Membership{planner_, planner_announced_at_, newest_announcement_at_, agents_, end});
}

std::shared_ptr<const Membership> MembersView::membership() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return membership_;
}

void MembersView::ApplyEntry(const KeyedRecord& record) {
  const std::string node = record.key.substr(std::string(kEntryPrefix).size());
  if (record.value.empty()) {
    entries_.erase(node);
    return;
  }
  try {
    entries_[node] = DecodeEntry(record.value);
  } catch (const Error& error) {
    LogSkippedRecord(kMembersTopic, record, error);
  }
}

void MembersView::ApplyRecord(const KeyedRecord& record) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::string prefix = kAgentPrefix;
  if (record.key.rfind(prefix, 0) == 0) {
    const std::string node = record.key.substr(prefix.size());
    if (record.value.empty()) {
      agents_.erase(node);
    } else {
      agents_.insert(node);
    }
    return;
  }
  if (record.key.rfind(kEntryPrefix, 0) == 0) return ApplyEntry(record);
  // Pages of the newest records overlap with the history.
  if (record.key != kPlannerKey || record.offset <= newest_announcement_at_) return;
  newest_announcement_at_ = record.offset;
  if (record.value.empty()) return;
  try {
    planner_ = DecodeAnnouncement(record.value);
    planner_announced_at_ = record.offset;
  } catch (const Error& error) {
    LogSkippedRecord(kMembersTopic, record, error);
    return;
  }
  LogEvent(LogLevel::kInfo, "planner_heard",
           {{"epoch", planner_.epoch}, {"node", planner_.node}, {"address", planner_.address}});
}

PlannerRecord MembersView::planner() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return planner_;
}

std::set<std::string> MembersView::agents() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return agents_;
}

size_t MembersView::agent_count() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return agents_.size();
}

size_t MembersView::size() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return agents_.size() + entries_.size();
}

std::map<std::string, EntryRecord> MembersView::entries() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return entries_;
}

Freshness MembersView::freshness() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return freshness_;
}

PlannerView::PlannerView(KeyedLog* log, Duration wait, Duration idle_interval) {
  FollowerOptions options;
  options.topic = kPlannerTopic;
  options.poll_wait = wait;
  options.idle_interval = idle_interval;
  follower_ = std::make_unique<TopicFollower>(
      options, log, [this](const KeyedRecord& record) { ApplyRecord(record); },
      [this](Offset /*end*/, Time /*requested_at*/) {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (!first_epoch_) first_epoch_ = planner_.epoch;
      },
      [] {});
}

std::optional<int64_t> PlannerView::first_epoch() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return first_epoch_;
}

void PlannerView::ApplyRecord(const KeyedRecord& record) {
  if (record.key != kPlannerKey || record.value.empty()) return;
  try {
    PlannerRecord planner = DecodeAnnouncement(record.value);
    const std::lock_guard<std::mutex> lock(mutex_);
    // Pages of the newest records overlap with the history.
    if (record.offset <= newest_announcement_at_) return;
    newest_announcement_at_ = record.offset;
    planner_ = std::move(planner);
  } catch (const Error& error) {
    LogSkippedRecord(kPlannerTopic, record, error);
    return;
  }
  const PlannerRecord known = planner();
  LogEvent(LogLevel::kInfo, "planner_heard",
           {{"epoch", known.epoch}, {"node", known.node}, {"address", known.address}});
  changed_.notify_all();
}

PlannerRecord PlannerView::planner() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return planner_;
}

void PlannerView::AwaitNewerThan(int64_t epoch, Duration limit) const {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_for(lock, limit, [&] { return planner_.epoch > epoch; });
}

}  // namespace turmericshift::pool
