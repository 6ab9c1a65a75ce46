#include "servers/pool/topic_follower.h"

#include <thread>
#include <utility>

#include "core/logging.h"

namespace turmericshift::pool {

TopicFollower::TopicFollower(const FollowerOptions& options, KeyedLog* log, OnRecord on_record,
                             OnCaughtUp on_caught_up, OnRestart on_restart)
    : options_(options),
      log_(log),
      on_record_(std::move(on_record)),
      on_caught_up_(std::move(on_caught_up)),
      on_restart_(std::move(on_restart)),
      thread_(ThreadRole::kEssential, "follow", [this] { Run(); }) {}

TopicFollower::~TopicFollower() { stopping_.store(true); }

void TopicFollower::Run() {
  Offset from = kNoOffset;
  while (!stopping_.load()) {
    try {
      from = from == kNoOffset ? ReadNewest() : ReadNext(from);
      LogStoreRegained(LeaseClock().Now());
    } catch (const Error& error) {
      if (error.kind() == ErrorKind::kTrimmed) {
        // The store has trimmed the history; the newest record of each key is still there.
        LogEvent(LogLevel::kWarning, "topic_history_dropped", {{"topic", options_.topic}});
        from = kNoOffset;
        continue;
      }
      LogStoreLost(error, LeaseClock().Now());
      std::this_thread::sleep_for(options_.retry_interval);
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
  on_caught_up_(begin, requested_at);
  return begin;
}

Offset TopicFollower::ReadNext(Offset from) {
  const Time requested_at = LeaseClock().Now();
  // A store that may be unavailable is polled without a wait: a call that hangs then times out
  // sooner, and the store's return is noticed sooner.
  const Duration wait = lost_since_ ? Duration::zero() : options_.poll_wait;
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
  on_caught_up_(next, ran_full_wait ? requested_at + certain_wait : requested_at);
  if (!batch.records.empty() && options_.read_gap) std::this_thread::sleep_for(options_.read_gap());
  return next;
}

void TopicFollower::LogStoreLost(const Error& error, Time now) {
  if (lost_since_) return;
  lost_since_ = now;
  LogEvent(LogLevel::kWarning, "store_lost", {{"topic", options_.topic}, {"error", error.what()}});
}

void TopicFollower::LogStoreRegained(Time now) {
  if (!lost_since_) return;
  LogEvent(LogLevel::kInfo, "store_regained",
           {{"topic", options_.topic}, {"after_s", Seconds(now - *lost_since_)}});
  lost_since_.reset();
}

}  // namespace turmericshift::pool
