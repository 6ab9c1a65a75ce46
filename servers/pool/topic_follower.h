// Follows one keyed topic: first the newest record of each key, then whatever is appended, by long
// polls. Tells how fresh the view is, since each rule on configuration and duty rests on that.
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
  // How long one poll waits for news. Freshness is known to within this.
  Duration poll_wait = std::chrono::seconds(1);
  // A poll that is not answered so long after its wait has lost its connection.
  Duration answer_grace_period = std::chrono::milliseconds(700);
  // Pause after a failed call: the store may be refusing everyone, and is not to be flooded.
  Duration retry_interval = std::chrono::milliseconds(100);
  // After news the next poll is sent no sooner than this, so that what comes in quick succession is
  // read in one call.
  // None while it is not set; called on the follower's thread.
  std::function<Duration()> read_gap;
};

class TopicFollower {
 public:
  // Called on the follower's thread for each record, in order.
  using OnRecord = std::function<void(const KeyedRecord&)>;
  // Called when the view has reached `end`, where the store stood at or after `asked`.
  using OnCaughtUp = std::function<void(Offset end, Time requested_at)>;
  // Called before the records of a new start from the newest of each key.
  using OnRestart = std::function<void()>;

  TopicFollower(const FollowerOptions& options, KeyedLog* log, OnRecord on_record,
                OnCaughtUp on_caught_up, OnRestart on_restart);
  ~TopicFollower();
  TopicFollower(const TopicFollower&) = delete;
  TopicFollower& operator=(const TopicFollower&) = delete;

 private:
  void Run();
  // Reads the newest record of each key; returns the offset to go on from.
  Offset ReadNewest();
  // One long poll, and the gap after news; returns the offset to go on from.
  Offset ReadOn(Offset from);
  void LogStoreLost(const Error& error, Time now);
  void LogStoreRegained(Time now);

  const FollowerOptions options_;
  KeyedLog* const log_;
  const OnRecord on_record_;
  const OnCaughtUp on_caught_up_;
  const OnRestart on_restart_;
  std::atomic<bool> stopping_{false};
  // When the store was lost; only the follower's thread uses it.
  std::optional<Time> lost_since_;
  Thread thread_;
};

}  // namespace turmericshift::pool
