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
      thread_("follow", [this] { Run(); }) {}

TopicFollower::~TopicFollower() { stopping_.store(true); }

void TopicFollower::Run() {
  Offset from = kNoOffset;
  while (!stopping_.load()) {
    try {
      from = from == kNoOffset ? ReadNewest() : ReadOn(from);
      NoteSuccess(LeaseClock().Now());
    } catch (const Error& error) {
      if (error.kind() == ErrorKind::kTrimmed) {
        // The history was dropped; the newest record of each key is still there.
        LogEvent(LogLevel::kWarning, "topic_history_dropped", {{"topic", options_.topic}});
        from = kNoOffset;
        continue;
      }
      NoteFailure(error, LeaseClock().Now());
      std::this_thread::sleep_for(options_.pause);
    }
  }
}

Offset TopicFollower::ReadNewest() {
  std::vector<KeyedRecord> records;
  Offset begin = kNoOffset;
  Time asked{};
  std::string after;
  while (true) {
    const Time now = LeaseClock().Now();
    const KeyedPage page = log_->Newest(options_.topic, after, options_.patience);
    // Records that come while the pages are read lie after the first page's end.
    if (begin == kNoOffset) {
      begin = page.end;
      asked = now;
    }
    records.insert(records.end(), page.records.begin(), page.records.end());
    if (!page.more || page.records.empty()) break;
    after = page.records.back().key;
  }
  on_restart_();
  for (const KeyedRecord& record : records) on_record_(record);
  on_caught_up_(begin, asked);
  return begin;
}

Offset TopicFollower::ReadOn(Offset from) {
  const Time asked = LeaseClock().Now();
  // A store that may be away is asked for an answer at once: a call that hangs then ends sooner,
  // and the next one finds the store back sooner.
  const Duration wait = lost_since_ ? Duration::zero() : options_.wait;
  const KeyedBatch batch = log_->Read(options_.topic, from, wait, wait + options_.patience);
  for (const KeyedRecord& record : batch.records) on_record_(record);
  const Offset next = from + static_cast<Offset>(batch.records.size());
  if (next < batch.end) return next;
  // An answer without records was made when the wait was over, not when it was asked for. Clocks
  // differ, so that the store's wait may end a little early.
  const Duration sure_wait = wait * 9 / 10;
  const bool waited = batch.records.empty() && LeaseClock().Now() - asked >= sure_wait;
  on_caught_up_(next, waited ? asked + sure_wait : asked);
  if (!batch.records.empty() && options_.gap) std::this_thread::sleep_for(options_.gap());
  return next;
}

void TopicFollower::NoteFailure(const Error& error, Time now) {
  if (lost_since_) return;
  lost_since_ = now;
  LogEvent(LogLevel::kWarning, "store_lost", {{"topic", options_.topic}, {"error", error.what()}});
}

void TopicFollower::NoteSuccess(Time now) {
  if (!lost_since_) return;
  LogEvent(LogLevel::kInfo, "store_regained",
           {{"topic", options_.topic}, {"after_s", Seconds(now - *lost_since_)}});
  lost_since_.reset();
}

}  // namespace turmericshift::pool
