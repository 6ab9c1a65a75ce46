// Follows a keyed topic: reads the newest record of each key and then, by long polling, everything
// appended afterwards. Reports how fresh the view is, because the rules on configuration and
// leadership depend on its age.
#pragma once

#include <atomic>
#include <functional>
#include <mutex>
#include <string>

#include "core/thread.h"
#include "servers/platform/keyed_log.h"

namespace turmericshift::pool {

struct FollowerOptions {
  std::string topic;
  // How long a poll waits for new records. Freshness is known with this precision.
  Duration poll_wait = std::chrono::seconds(1);
  // If a poll is not answered within this time after its wait, the connection is considered lost.
  Duration answer_grace_period = std::chrono::milliseconds(700);
  // Delay after a failed call, which avoids flooding a store that rejects everyone.
  Duration retry_interval = std::chrono::milliseconds(100);
  // Delay before the next poll after a poll that returned records, so that records which arrive in
  // quick succession are read in one call. Not set: no delay. Called on the follower's thread.
  std::function<Duration()> read_gap;
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

 private:
  void Run();
  // Reads the newest record of each key. Returns the offset to continue from.
  Offset ReadNewest();
  // Runs one long poll. If the poll returned records, then waits for `read_gap` of the options.
  // Returns the offset to continue from.
  Offset ReadNext(Offset from);
  void LogStoreLost(const Error& error, Time now);
  void LogStoreRegained(Time now);

  const FollowerOptions options_;
  KeyedLog* const log_;
  const OnRecord on_record_;
  const OnCaughtUp on_caught_up_;
  const OnRestart on_restart_;
  std::atomic<bool> stopping_{false};
  // When contact with the store was lost; empty while it answers. Used only by the follower's
  // thread.
  std::optional<Time> lost_since_;
  Thread thread_;
};

}  // namespace turmericshift::pool
