#include "servers/membership/topic_follower.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/error.h"
#include "core/logging.h"

namespace turmericshift::membership {

TopicFollower::TopicFollower(const FollowerOptions& options, KeyedLog* log, OnRecord on_record,
                             OnCaughtUp on_caught_up, OnRestart on_restart)
    : options_(options),
      log_(log),
      on_record_(std::move(on_record)),
      on_caught_up_(std::move(on_caught_up)),
      on_restart_(std::move(on_restart)),
      retry_delay_(options.retry_interval),
      thread_(ThreadRole::kEssential, "follow", [this] { Run(); }) {}

TopicFollower::~TopicFollower() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
}

void TopicFollower::FollowCloselyUntil(Time until, Time now) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const bool was_followed_closely = IsFollowedCloselyLocked(now);
    followed_closely_until_ = std::max(followed_closely_until_, until);
    if (was_followed_closely) return;
  }
  changed_.notify_all();
}

void TopicFollower::Refresh(Duration max_age, Duration limit, Time now) {
  std::unique_lock<std::mutex> lock(mutex_);
  if (IsFollowedCloselyLocked(now)) return;
  const Time required = now - max_age;
  const auto done = [&] {
    return stopping_ || lost_since_ || (caught_up_at_ && *caught_up_at_ > required);
  };
  if (done()) return;
  refresh_requested_ = true;
  changed_.notify_all();
  changed_.wait_for(lock, limit, done);
}

bool TopicFollower::IsFollowedCloselyLocked(Time now) const {
  const bool always = options_.idle_interval + options_.idle_wait <= Duration::zero();
  return always || now < followed_closely_until_;
}

bool TopicFollower::store_lost() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return lost_since_.has_value();
}

bool TopicFollower::IsStopping() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return stopping_;
}

void TopicFollower::AwaitFirstRead() {
  if (options_.first_read == FirstRead::kAtOnce) return;
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait(lock, [this] {
    return stopping_ || refresh_requested_ || IsFollowedCloselyLocked(LeaseClock().Now());
  });
}

void TopicFollower::Run() {
  AwaitFirstRead();
  Offset from = kNoOffset;
  while (!IsStopping()) {
    try {
      from = from == kNoOffset ? ReadNewest() : ReadNext(from);
    } catch (const Error& error) {
      if (error.kind() == ErrorKind::kTrimmed) {
        // The store has trimmed the history; the newest record of each key is still there.
        LogEvent(LogLevel::kWarning, "topic_history_dropped", {{"topic", options_.topic}});
        from = kNoOffset;
        continue;
      }
      LogStoreLost(error, LeaseClock().Now());
      PauseAfterFailure();
    }
  }
}

Offset TopicFollower::ReadNewest() {
  std::vector<KeyedRecord> records;
  Offset begin = kNoOffset;
  Time requested_at{};
  std::string after;
  while (true) {
    const Time now = LeaseClock().Now();
    const KeyedPage page = log_->Newest(options_.topic, after, options_.answer_grace_period);
    // Records appended while the pages are read lie after the end of the first page.
    if (begin == kNoOffset) {
      begin = page.end;
      requested_at = now;
    }
    records.insert(records.end(), page.records.begin(), page.records.end());
    if (!page.more || page.records.empty()) break;
    after = page.records.back().key;
  }
  on_restart_();
  for (const KeyedRecord& record : records) on_record_(record);
  CaughtUp(begin, requested_at);
  return begin;
}

Offset TopicFollower::ReadNext(Offset from) {
  const Time requested_at = LeaseClock().Now();
  Duration wait = options_.poll_wait;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    // A store that may be unavailable is polled without a wait: a call that hangs then times out
    // sooner, and the store's return is noticed sooner.
    if (lost_since_) {
      wait = Duration::zero();
    } else if (!IsFollowedCloselyLocked(requested_at)) {
      wait = options_.idle_wait;
    }
    refresh_requested_ = false;
  }
  const KeyedBatch batch =
      log_->Read(options_.topic, from, wait, wait + options_.answer_grace_period);
  for (const KeyedRecord& record : batch.records) on_record_(record);
  const Offset next = from + static_cast<Offset>(batch.records.size());
  if (next < batch.end) return next;
  // An empty answer reflects the end of the wait, not the time of the request. Clocks differ, so
  // the store's wait may end slightly early; only nine tenths of it are counted.
  const Duration certain_wait = wait * 9 / 10;
  const bool ran_full_wait =
      batch.records.empty() && LeaseClock().Now() - requested_at >= certain_wait;
  CaughtUp(next, ran_full_wait ? requested_at + certain_wait : requested_at);
  PauseAfterRead(!batch.records.empty());
  return next;
}

void TopicFollower::CaughtUp(Offset end, Time requested_at) {
  on_caught_up_(end, requested_at);
  LogStoreRegained(LeaseClock().Now());
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    caught_up_at_ = requested_at;
  }
  changed_.notify_all();
}

void TopicFollower::PauseAfterRead(bool had_records) {
  const Duration gap = had_records && options_.read_gap ? options_.read_gap() : Duration::zero();
  std::unique_lock<std::mutex> lock(mutex_);
  if (IsFollowedCloselyLocked(LeaseClock().Now())) {
    changed_.wait_for(lock, gap, [this] { return stopping_; });
    return;
  }
  changed_.wait_for(lock, options_.idle_interval, [this] {
    return stopping_ || refresh_requested_ || IsFollowedCloselyLocked(LeaseClock().Now());
  });
}

void TopicFollower::PauseAfterFailure() {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_for(lock, retry_delay_, [this] { return stopping_; });
  retry_delay_ = std::min(2 * retry_delay_, options_.max_retry_interval);
}

void TopicFollower::LogStoreLost(const Error& error, Time now) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (lost_since_) return;
    lost_since_ = now;
  }
  changed_.notify_all();
  LogEvent(LogLevel::kWarning, "store_lost", {{"topic", options_.topic}, {"error", error.what()}});
}

void TopicFollower::LogStoreRegained(Time now) {
  Time lost_since{};
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    retry_delay_ = options_.retry_interval;
    if (!lost_since_) return;
    lost_since = *lost_since_;
    lost_since_.reset();
  }
  LogEvent(LogLevel::kInfo, "store_regained",
           {{"topic", options_.topic}, {"after_s", Seconds(now - lost_since)}});
}

}  // namespace turmericshift::membership
