// What one process has read of the store: the work topic, the operators' documents and the members,
// each with how fresh it is. Shared between threads.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "servers/pool/job_table.h"
#include "servers/pool/pool_config.h"
#include "servers/pool/topic_follower.h"

namespace turmericshift::pool {

inline constexpr const char* kWorkTopic = "keyed.work";
inline constexpr const char* kMembersTopic = "keyed.members";
// Keys of the members topic: "agent/NODE" for each agent that may have something running,
// "entry/NODE" for each entry, and kPlannerKey.
inline constexpr const char* kAgentPrefix = "agent/";
inline constexpr const char* kEntryPrefix = "entry/";
// Writers of the work topic take turns by epoch under this name.
inline constexpr const char* kPlannerProducer = "planner";

// A topic's view with the moment at which the store was asked for what it shows.
struct Freshness {
  // Nothing has been read yet while this is empty.
  std::optional<Time> asked;

  bool within(Duration limit, Time now) const { return asked && now - *asked < limit; }
};

// What a claim on the planner's duty rests on.
struct LeadershipView {
  PlannerRecord planner;
  Offset end = 0;
  Freshness freshness;
  // When the newest record was read; records come at least every beat.
  std::optional<Time> newest_record_at;
};

class WorkView {
 public:
  // Follows the work topic from now on.
  explicit WorkView(KeyedLog* log);

  LeadershipView leadership() const;
  // A copy of everything, and what a claim made from it rests on, as of the same moment.
  JobTable book(LeadershipView* leadership) const;
  // Empty when the job is unknown to this view.
  std::optional<JobState> StateOf(const std::string& id) const;
  int Waiting(const std::string& queue) const;
  Freshness freshness() const;
  // So many entries read the topic; each of them reads the less often the more they are.
  void SetReaders(size_t entries) { readers_.store(entries); }

 private:
  void TakeRecord(const KeyedRecord& record);
  void CaughtUp(Offset end, Time asked);
  void Restart();
  LeadershipView DutyLocked() const;

  mutable std::mutex mutex_;
  JobTable book_;
  // Filled aside after a restart, so that nobody sees half of it.
  std::optional<JobTable> rebuilding_;
  Offset end_ = 0;
  Freshness freshness_;
  std::optional<Time> newest_record_at_;
  std::atomic<size_t> readers_{0};
  // Last, so that it is stopped first.
  std::unique_ptr<TopicFollower> follower_;
};

class OperatorView {
 public:
  OperatorView(KeyedLog* log, std::unique_ptr<OperatorDecoder> decoder);

  // Shared, not copied: documents of hundreds of routes are read on every call.
  std::shared_ptr<const OperatorState> state() const;
  Freshness freshness() const;

 private:
  void TakeRecord(const KeyedRecord& record);
  void CaughtUp(Offset end, Time asked);

  const std::unique_ptr<OperatorDecoder> decoder_;
  mutable std::mutex mutex_;
  std::shared_ptr<const OperatorState> state_;
  // What is being read; shown once the view has caught up.
  OperatorState next_;
  bool changed_ = false;
  Freshness freshness_;
  std::unique_ptr<TopicFollower> follower_;
};

class MembersView {
 public:
  explicit MembersView(KeyedLog* log, Duration wait);

  PlannerRecord planner() const;
  std::set<std::string> agents() const;
  size_t agent_count() const;
  // Agents and entries.
  size_t size() const;
  // By node; an entry that is gone stays listed.
  std::map<std::string, EntryRecord> entries() const;
  Freshness freshness() const;

 private:
  void TakeRecord(const KeyedRecord& record);
  void TakeEntry(const KeyedRecord& record);

  mutable std::mutex mutex_;
  PlannerRecord planner_;
  std::set<std::string> agents_;
  std::map<std::string, EntryRecord> entries_;
  Freshness freshness_;
  std::unique_ptr<TopicFollower> follower_;
};

}  // namespace turmericshift::pool
