// Follows a keyed topic: reads the newest record of each key and then everything appended
// afterwards, closely or at long intervals. Reports how fresh the view is, because the rules on
// configuration and leadership depend on its age.
//
// Load pattern: hundreds of processes with a view of a topic that changes several times a second.
// Only the few that act on each record follow it closely; the others read when a call needs the
// view, and otherwise at an interval that does not depend on the number of records.
#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "core/thread.h"
#include "servers/platform/keyed_log.h"

namespace turmericshift::membership {

// When a follower reads its topic for the first time.
enum class FirstRead {
  kAtOnce,
  // When the topic is to be followed closely, or refreshed.
  kOnDemand,
};

struct FollowerOptions {
  std::string topic;
  // How long a poll waits for new records. Freshness is known with this precision.
  Duration poll_wait = std::chrono::seconds(1);
  // If a poll is not answered within this time after its wait, the connection is considered lost.
  Duration answer_grace_period = std::chrono::milliseconds(700);
  // Delay after a failed call; doubled with each further failure up to the maximum, which avoids
  // flooding a store that rejects everyone.
  Duration retry_interval = std::chrono::milliseconds(100);
  Duration max_retry_interval = std::chrono::milliseconds(400);
  // Delay before the next poll after a poll that returned records, so that records which arrive in
  // quick succession are read in one call. Not set: no delay. Called on the follower's thread.
  std::function<Duration()> read_gap;
  // While the topic is not followed closely: the wait of a poll, and the delay after it. Both zero:
  // the topic is always followed closely.
  Duration idle_wait{};
  Duration idle_interval{};
  FirstRead first_read = FirstRead::kAtOnce;
};

class TopicFollower {
 public:
  // Called on the follower's thread for each record, in order.
  using OnRecord = std::function<void(const KeyedRecord&)>;
  // Called when the view has reached `end`, which was the end of the topic at or after
  // `requested_at`.
  using OnCaughtUp = std::function<void(Offset end, Time requested_at)>;
  // Called before the topic is read anew from the newest record of each key.
  using OnRestart = std::function<void()>;

  TopicFollower(const FollowerOptions& options, KeyedLog* log, OnRecord on_record,
                OnCaughtUp on_caught_up, OnRestart on_restart);
  ~TopicFollower();
  TopicFollower(const TopicFollower&) = delete;
  TopicFollower& operator=(const TopicFollower&) = delete;

  // Follows the topic closely until `until`, or longer if an earlier call said so.
  void FollowCloselyUntil(Time until, Time now);
  // Reads what has been appended and returns once the view reflects a time less than `max_age` ago,
  // after `limit` at the latest. Returns at once while the topic is followed closely, as each
  // record is read anyway, and while the store does not answer.
  void Refresh(Duration max_age, Duration limit, Time now);
  // Whether the newest call to the store has failed.
  bool store_lost() const;

 private:
  void Run();
  // Waits until the first read is due.
  void AwaitFirstRead();
  // Reads the newest record of each key. Returns the offset to continue from.
  Offset ReadNewest();
  // Reads from `from` on: by a long poll while the topic is followed closely. Then pauses. Returns
  // the offset to continue from.
  Offset ReadNext(Offset from);
  void CaughtUp(Offset end, Time requested_at);
  // Waits until the next read is due.
  void PauseAfterRead(bool had_records);
  void PauseAfterFailure();
  bool IsFollowedCloselyLocked(Time now) const;
  bool IsStopping() const;
  void LogStoreLost(const Error& error, Time now);
  void LogStoreRegained(Time now);

  const FollowerOptions options_;
  KeyedLog* const log_;
  const OnRecord on_record_;
  const OnCaughtUp on_caught_up_;
  const OnRestart on_restart_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  Time followed_closely_until_{};
  bool refresh_requested_ = false;
  // What the view reflects; empty until the topic has been read.
  std::optional<Time> caught_up_at_;
  // When contact with the store was lost; empty while it answers.
  std::optional<Time> lost_since_;
  // Delay after the next failure. Used only by the follower's thread.
  Duration retry_delay_;
  Thread thread_;
};

}  // namespace turmericshift::membership
