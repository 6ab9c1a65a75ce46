// Views of the store that a process keeps up to date by following topics: the work topic, the
// operators' documents and the members. Each view states how fresh it is. Thread-safe.
#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "servers/membership/topic_follower.h"
#include "servers/pool/job_table.h"
#include "servers/pool/pool_config.h"

namespace turmericshift::pool {

using membership::FirstRead;
using membership::FollowerOptions;
using membership::TopicFollower;

inline constexpr const char* kWorkTopic = "keyed.work";
inline constexpr const char* kMembersTopic = "keyed.members";
// Contains the planner's announcement and nothing else, so that hundreds of agents that look for
// the planner at the same time do not read the whole members topic.
inline constexpr const char* kPlannerTopic = "keyed.planner";
// Keys of the members topic: "agent/NODE" for each agent whose worker may run something,
// "entry/NODE" for each entry, and kPlannerKey.
inline constexpr const char* kAgentPrefix = "agent/";
inline constexpr const char* kEntryPrefix = "entry/";
// Producer name under which planners write to the work topic. The store accepts only the highest
// epoch of a producer.
inline constexpr const char* kPlannerProducer = "planner";

// How current the view of a topic is.
struct Freshness {
  // When the read was sent that the view reflects; empty until the topic has been read.
  std::optional<Time> requested_at;

  bool within(Duration limit, Time now) const {
    return requested_at && now - *requested_at < limit;
  }
};

// State of the leadership as read from the store. A claim to become the active planner is based on
// it.
struct LeadershipView {
  PlannerRecord planner;
  Offset end = 0;
  Freshness freshness;
  // When the newest record was read. An active planner writes at least one record per heartbeat
  // interval.
  std::optional<Time> newest_record_at;
};

class WorkView {
 public:
  // Starts following the work topic. `idle_interval`: how often it is read while it is not followed
  // closely; zero: it is always followed closely.
  explicit WorkView(KeyedLog* log, Duration idle_interval = {});

  LeadershipView leadership() const;
  // Returns a copy of all jobs, and sets `leadership` to the state at the same moment.
  JobTable table(LeadershipView* leadership) const;
  // Empty if the view does not contain the job.
  std::optional<JobState> StateOf(const std::string& id) const;
  int Waiting(const std::string& queue) const;
  Freshness freshness() const;
  // Sets the number of entries that read the topic. The more there are, the less often each of them
  // reads, which bounds the load on the store.
  void SetReaders(size_t entries) { readers_.store(entries); }
  // See TopicFollower.
  bool store_lost() const { return follower_->store_lost(); }
  void FollowCloselyUntil(Time until, Time now) { follower_->FollowCloselyUntil(until, now); }
  void Refresh(Duration max_age, Duration limit, Time now) {
    follower_->Refresh(max_age, limit, now);
  }

 private:
  void ApplyRecord(const KeyedRecord& record);
  void CaughtUp(Offset end, Time requested_at);
  void Restart();
  LeadershipView LeadershipLocked() const;

  mutable std::mutex mutex_;
  JobTable table_;
  // Filled while the topic is read anew after a restart, so that readers never see a partial table.
  std::optional<JobTable> rebuilding_;
  Offset end_ = 0;
  Freshness freshness_;
  std::optional<Time> newest_record_at_;
  std::atomic<size_t> readers_{0};
  // Declared last, so that it is stopped before the members it uses are destroyed.
  std::unique_ptr<TopicFollower> follower_;
};

class OperatorView {
 public:
  // `idle_wait`: how long a poll waits for a change while the topic is not followed closely; zero:
  // it is always followed closely.
  OperatorView(KeyedLog* log, std::unique_ptr<OperatorDecoder> decoder, Duration idle_wait = {});

  // Shared instead of copied, because documents with hundreds of routes are read on every call.
  std::shared_ptr<const OperatorState> state() const;
  Freshness freshness() const;
  // See TopicFollower.
  void FollowCloselyUntil(Time until, Time now) { follower_->FollowCloselyUntil(until, now); }

 private:
  void ApplyRecord(const KeyedRecord& record);
  void CaughtUp(Offset end, Time requested_at);

  const std::unique_ptr<OperatorDecoder> decoder_;
  mutable std::mutex mutex_;
  std::shared_ptr<const OperatorState> state_;
  // State under construction; published as `state_` when the view has caught up.
  OperatorState next_;
  bool changed_ = false;
  Freshness freshness_;
  std::unique_ptr<TopicFollower> follower_;
};

// The members topic as of one offset.
struct Membership {
  // The planner that the newest readable announcement names, and the offset of the announcement.
  PlannerRecord planner;
  Offset announced_at = kNoOffset;
  // Offset of the newest record under the planner's key, readable or not.
  Offset newest_announcement_at = kNoOffset;
  std::set<std::string> agents;
  // All records before this offset are reflected.
  Offset end = 0;

  // Whether the newest readable announcement is that of the planner of `epoch`, and all that was
  // written before it is reflected. Conditional appends of former planners fail from then on. Does
  // not prove that there is no newer planner: another writer's record may hide its announcement.
  bool IsCurrentFor(int64_t epoch) const { return planner.epoch == epoch && end > announced_at; }
  // Whether a process that starts to read the topic now would find the planner `self`.
  bool Announces(const PlannerRecord& self) const {
    return planner.SamePlannerAs(self) && newest_announcement_at == announced_at;
  }
};

class MembersView {
 public:
  // `wait`: how long a poll waits for a change. `idle_interval`: how often the topic is read while
  // it is not followed closely; zero: it is always followed closely.
  explicit MembersView(KeyedLog* log, Duration wait, Duration idle_interval = {},
                       FirstRead first_read = FirstRead::kAtOnce);

  std::shared_ptr<const Membership> membership() const;

  PlannerRecord planner() const;
  std::set<std::string> agents() const;
  size_t agent_count() const;
  // Number of agents and entries.
  size_t size() const;
  // Entries by node. An entry that is gone stays listed.
  std::map<std::string, EntryRecord> entries() const;
  Freshness freshness() const;
  // See TopicFollower.
  void FollowCloselyUntil(Time until, Time now) { follower_->FollowCloselyUntil(until, now); }
  void Refresh(Duration max_age, Duration limit, Time now) {
    follower_->Refresh(max_age, limit, now);
  }

 private:
  void ApplyRecord(const KeyedRecord& record);
  void ApplyEntry(const KeyedRecord& record);
  void CaughtUp(Offset end, Time requested_at);

  mutable std::mutex mutex_;
  std::shared_ptr<const Membership> membership_ = std::make_shared<const Membership>();
  PlannerRecord planner_;
  Offset planner_announced_at_ = kNoOffset;
  Offset newest_announcement_at_ = kNoOffset;
  std::set<std::string> agents_;
  std::map<std::string, EntryRecord> entries_;
  Freshness freshness_;
  std::unique_ptr<TopicFollower> follower_;
};

// The planner topic. Its newest readable record names the planner, whatever its epoch: the store
// keeps a planner's announcement from following one of a newer planner, and a record of another
// writer is followed by an announcement of the planner.
class PlannerView {
 public:
  // See MembersView.
  PlannerView(KeyedLog* log, Duration wait, Duration idle_interval);

  PlannerRecord planner() const;
  // The epoch that the first read of the topic showed, 0 if there was no planner; empty until the
  // topic has been read.
  std::optional<int64_t> first_epoch() const;
  // Waits up to `limit` for a planner with a higher epoch.
  void AwaitNewerThan(int64_t epoch, Duration limit) const;
  // See TopicFollower.
  void FollowCloselyUntil(Time until, Time now) { follower_->FollowCloselyUntil(until, now); }

 private:
  void ApplyRecord(const KeyedRecord& record);

  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  PlannerRecord planner_;
  Offset newest_announcement_at_ = kNoOffset;
  std::optional<int64_t> first_epoch_;
  std::unique_ptr<TopicFollower> follower_;
};

// The views of one process. All must outlive their users.
struct PoolViews {
  WorkView* work = nullptr;
  OperatorView* operators = nullptr;
  MembersView* members = nullptr;
};

}  // namespace turmericshift::pool
