#include "servers/pool/planner_service.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "core/logging.h"

namespace turmericshift::pool {
namespace {

// Leases and limits are looked at this often when nothing else happens.
constexpr Duration kTick = std::chrono::milliseconds(100);
// Pause before an append is sent again; doubled each time. A store that turns this VM away is not
// to be flooded, and one that is back should be noticed soon.
constexpr Duration kRetryPause = std::chrono::milliseconds(50);
constexpr Duration kLongestRetryPause = std::chrono::milliseconds(200);
// After a round of planning the deciding thread rests for so many times as long as it took,
constexpr int kPauseForRound = 2;
constexpr Duration kLongestRoundPause = std::chrono::milliseconds(50);
// but not for one as short as this.
constexpr Duration kShortRound = std::chrono::milliseconds(1);

}  // namespace

PlannerService::PlannerService(const PlannerServiceOptions& options, KeyedLog* log,
                               const OperatorView* operators, MetricsRegistry* metrics)
    : options_(options),
      log_(log),
      operators_(operators),
      appends_(metrics->counter("store_appends")),
      append_failures_(metrics->counter("store_append_failures")),
      append_seconds_(metrics->distribution("store_append_seconds")),
      round_seconds_(metrics->distribution("planner_round_seconds")),
      late_seconds_(metrics->gauge("planner_late_seconds")),
      jobs_(metrics->gauge("planner_jobs")),
      epoch_gauge_(metrics->gauge("planner_epoch")),
      decider_("decide", [this] { Decide(); }),
      writer_("write", [this] { Write(); }) {}

PlannerService::~PlannerService() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  to_write_.notify_all();
  to_ask_.notify_all();
  End("the process stops");
}

Error PlannerService::NotPlanning() {
  return {ErrorKind::kConflict, Outcome::kNotRun, "this process does not plan the pool"};
}

void PlannerService::Begin(int64_t epoch, int64_t sequence, const JobTable& book,
                           const std::set<std::string>& agents, Time asked) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    planner_ =
        std::make_unique<PoolPlanner>(options_.planner, epoch, book, agents, LeaseClock().Now());
    planner_->ConfirmLeadership(asked);
    epoch_gauge_.Set(static_cast<double>(epoch));
    sequence_ = sequence;
    releasing_ = false;
    last_write_ = asked;
    writing_since_.reset();
    dirty_ = true;
  }
  LogEvent(LogLevel::kInfo, "duty_taken",
           {{"epoch", epoch}, {"jobs", book.jobs().size()}, {"agents", agents.size()}});
  changed_.notify_all();
  to_write_.notify_all();
}

void PlannerService::EndLocked(const char* why, Replies* replies) {
  if (!planner_) return;
  LogEvent(LogLevel::kWarning, "duty_ended", {{"epoch", planner_->epoch()}, {"reason", why}});
  planner_.reset();
  epoch_gauge_.Set(0);
  writing_since_.reset();
  for (auto& [node, poll] : polls_) {
    replies->push_back(Failed(std::move(poll.done), NotPlanning()));
  }
  polls_.clear();
  intake_.End(replies);
}

void PlannerService::PredecessorGone() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (planner_) planner_->PredecessorGone(LeaseClock().Now());
}

void PlannerService::End(const char* why) {
  Replies replies;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    EndLocked(why, &replies);
  }
  to_write_.notify_all();
  RunAll(replies);
}

void PlannerService::Release(Duration limit) {
  std::unique_lock<std::mutex> lock(mutex_);
  if (!planner_) return;
  planner_->outbox().Put(kPlannerKey, EncodePlanner({planner_->epoch(), "", ""}));
  releasing_ = true;
  to_write_.notify_all();
  changed_.wait_for(lock, limit, [this] { return !planner_; });
}

int64_t PlannerService::epoch() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return planner_ ? planner_->epoch() : 0;
}

std::vector<std::string> PlannerService::SilentAgents(const std::set<std::string>& agents,
                                                      Duration limit, Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> silent;
  if (!planner_) return silent;
  for (const std::string& node : agents) {
    const auto known = planner_->workers().find(node);
    if (known != planner_->workers().end() && now - known->second.last_report < limit) continue;
    silent.push_back(node);
  }
  return silent;
}

std::optional<AdviceRequest> PlannerService::NextQuestion(Duration limit) {
  std::unique_lock<std::mutex> lock(mutex_);
  std::optional<AdviceRequest> question;
  to_ask_.wait_for(lock, limit, [&] {
    if (planner_) question = planner_->advice().Next(LeaseClock().Now());
    return question.has_value() || stopping_;
  });
  return question;
}

void PlannerService::HandleAdvice(const AdviceRequest& question, const AdviceResponse& answer,
                                  Time asked) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!planner_) return;
    planner_->advice().Take(question, answer, asked);
    planner_->NoteAdvice();
    dirty_ = true;
  }
  changed_.notify_all();
}

void PlannerService::AdviceFailed(Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (planner_) planner_->advice().Failed(now);
}

void PlannerService::Exchange(const AgentReport& report,
                              std::function<void(Attempt<AgentOrders>)> done) {
  const Time now = LeaseClock().Now();
  Replies replies;
  bool to_plan = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!planner_ && !successor_.address.empty()) {
      AgentOrders elsewhere;
      elsewhere.planner_epoch = successor_.epoch;
      elsewhere.planner_address = successor_.address;
      replies.push_back(Succeeded(std::move(done), elsewhere));
    } else if (!planner_) {
      replies.push_back(Failed(std::move(done), NotPlanning()));
    } else {
      const int64_t orders_version = planner_->orders_version();
      planner_->ApplyReport(report, LeaseClock().WallMillis(), now);
      to_plan = planner_->needs_planning() || planner_->orders_version() != orders_version ||
                !planner_->outbox().empty();
      const auto earlier = polls_.find(report.node);
      if (earlier != polls_.end() && report.wait > Duration::zero()) {
        // The agent has given that poll up; its connection may be gone.
        replies.push_back(
            Succeeded(std::move(earlier->second.done), planner_->Orders(report.node, now)));
        polls_.erase(earlier);
      }
      if (report.wait > Duration::zero() && !planner_->HasPendingOrders(report.node)) {
        polls_[report.node] = {std::move(done), now + report.wait};
      } else {
        replies.push_back(Succeeded(std::move(done), planner_->Orders(report.node, now)));
        if (report.wait > Duration::zero()) planner_->NotePollAnswered(report.node, now);
      }
      dirty_ = dirty_ || to_plan;
    }
  }
  // Most polls bring nothing to decide on, and waking a thread costs more than taking them in.
  if (to_plan) changed_.notify_all();
  RunAll(replies);
}

template <typename Take>
void PlannerService::TakeIn(JobIntake::OnDone done, Take&& take) {
  Replies replies;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!planner_ || releasing_) {
      replies.push_back(Failed(std::move(done), NotPlanning()));
    } else {
      take(std::move(done), LeaseClock().Now(), &replies);
      dirty_ = true;
    }
  }
  to_write_.notify_all();
  changed_.notify_all();
  RunAll(replies);
}

void PlannerService::Submit(const JobSpec& spec, std::function<void(Attempt<Done>)> done) {
  TakeIn(std::move(done), [&](JobIntake::OnDone answer, Time now, Replies* replies) {
    intake_.Submit(spec, writing_since_, planner_.get(), std::move(answer), now, replies);
  });
}

void PlannerService::Cancel(const std::string& id, std::function<void(Attempt<Done>)> done) {
  TakeIn(std::move(done), [&](JobIntake::OnDone answer, Time now, Replies* replies) {
    intake_.Cancel(id, LeaseClock().WallMillis(), planner_.get(), std::move(answer), now, replies);
  });
}

// A planner that has lost the store may still be reached by all others. Until it learns that it has
// been followed it goes on granting leases, and agents that have lost the store as well stay with
// it; the successor can start nothing on their workers, nor anything again that they may run. One
// notices by a `duty_ended` that comes many seconds after the next `duty_taken`.
void PlannerService::Yield(const PlannerRecord& successor,
                           std::function<void(Attempt<Done>)> done) {
  Replies replies;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (successor.epoch > successor_.epoch) successor_ = successor;
    if (planner_ && successor.epoch > planner_->epoch()) {
      EndLocked("a newer planner has said so", &replies);
    }
    if (planner_) {
      const Error refusal(ErrorKind::kConflict, Outcome::kNotRun,
                          "this process plans under a newer epoch");
      replies.push_back(Failed(std::move(done), refusal));
    } else {
      replies.push_back(Succeeded(std::move(done), Done{}));
    }
  }
  to_write_.notify_all();
  RunAll(replies);
}

void PlannerService::Offer(std::function<void(Attempt<Done>)> done) {
  Replies replies;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (would_claim_) {
      replies.push_back(Succeeded(std::move(done), Done{}));
    } else {
      const Error refusal(ErrorKind::kConflict, Outcome::kNotRun, "this entry claims no duty now");
      replies.push_back(Failed(std::move(done), refusal));
    }
  }
  RunAll(replies);
}

void PlannerService::NoteDuty(const PlannerRecord& planner, bool would_claim) {
  const std::lock_guard<std::mutex> lock(mutex_);
  read_planner_ = planner;
  would_claim_ = would_claim;
}

PlannerRecord PlannerService::KnownPlanner() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return successor_.epoch > read_planner_.epoch ? successor_ : read_planner_;
}

PlannerRecord PlannerService::Successor() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return successor_;
}

void PlannerService::AnswerPolls(Time now, Replies* replies) {
  for (auto poll = polls_.begin(); poll != polls_.end();) {
    if (!planner_->HasPendingOrders(poll->first) && now < poll->second.until) {
      ++poll;
      continue;
    }
    replies->push_back(Succeeded(std::move(poll->second.done), planner_->Orders(poll->first, now)));
    planner_->NotePollAnswered(poll->first, now);
    poll = polls_.erase(poll);
  }
}

void PlannerService::Decide() {
  while (true) {
    Replies replies;
    Time begun{};
    {
      std::unique_lock<std::mutex> lock(mutex_);
      changed_.wait_for(lock, kTick, [this] { return dirty_ || stopping_; });
      if (stopping_) return;
      dirty_ = false;
      if (!planner_) continue;
      const Time now = LeaseClock().Now();
      begun = now;
      const Freshness read = operators_->freshness();
      if (read.asked) planner_->SetOperatorState(operators_->state(), *read.asked);
      planner_->NoteDurable();
      planner_->Plan(LeaseClock().WallMillis(), now);
      AnswerPolls(now, &replies);
      intake_.Answer(writing_since_, planner_.get(), now, &replies);
      jobs_.Set(static_cast<double>(planner_->job_count()));
      late_seconds_.Set(Seconds(planner_->lag()));
      if (!planner_->outbox().empty()) to_write_.notify_all();
      to_ask_.notify_all();
    }
    RunAll(replies);
    const Duration took = LeaseClock().Now() - begun;
    round_seconds_.Record(Seconds(took));
    PauseAfter(took);
  }
}

// Agents' polls and callers are read meanwhile, so that a round of planning that takes long weighs
// more news instead of keeping them waiting.
void PlannerService::PauseAfter(Duration round) {
  if (round < kShortRound) return;
  std::this_thread::sleep_for(std::min(round * kPauseForRound, kLongestRoundPause));
}

void PlannerService::Write() {
  while (true) {
    std::vector<KeyedRecord> records;
    int64_t epoch = 0;
    int64_t sequence = 0;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      to_write_.wait_for(lock, options_.beat / 2,
                         [this] { return stopping_ || (planner_ && !planner_->outbox().empty()); });
      if (stopping_) return;
      const Time now = LeaseClock().Now();
      if (!planner_ || (planner_->outbox().empty() && now - last_write_ < options_.beat)) continue;
      records = planner_->outbox().Take();
      if (records.empty()) records.push_back({kHeartbeatKey, "1", kNoOffset});
      epoch = planner_->epoch();
      sequence = ++sequence_;
      writing_since_ = now;
    }
    Duration pause = kRetryPause;
    Time tried = LeaseClock().Now();
    while (!WriteOnce(records, epoch, sequence)) {
      // A call that was waited for in vain has been a pause already.
      if (LeaseClock().Now() - tried < options_.append_timeout) std::this_thread::sleep_for(pause);
      pause = std::min(2 * pause, kLongestRetryPause);
      tried = LeaseClock().Now();
      const std::lock_guard<std::mutex> lock(mutex_);
      if (stopping_ || !planner_ || planner_->epoch() != epoch) break;
    }
  }
}

bool PlannerService::WriteOnce(const std::vector<KeyedRecord>& records, int64_t epoch,
                               int64_t sequence) {
  const Time asked = LeaseClock().Now();
  Replies replies;
  try {
    log_->Append(kWorkTopic, records, {std::nullopt, kPlannerProducer, epoch, sequence},
                 options_.append_timeout);
    appends_.Add();
    append_seconds_.Record(Seconds(LeaseClock().Now() - asked));
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!planner_ || planner_->epoch() != epoch) return true;
    planner_->outbox().MarkDurable();
    planner_->ConfirmLeadership(asked);
    writing_since_.reset();
    last_write_ = asked;
    dirty_ = true;
    if (releasing_ && planner_->outbox().empty()) {
      intake_.Answer(std::nullopt, planner_.get(), asked, &replies);
      EndLocked("given up", &replies);
    }
  } catch (const Error& error) {
    append_failures_.Add();
    if (error.kind() != ErrorKind::kFenced && error.kind() != ErrorKind::kConflict) {
      // One line for each append that fails; how often is counted.
      if (failed_sequence_ != sequence) {
        LogEvent(LogLevel::kWarning, "append_failed",
                 {{"epoch", epoch}, {"sequence", sequence}, {"error", error.what()}});
      }
      failed_sequence_ = sequence;
      return false;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    if (planner_ && planner_->epoch() == epoch) EndLocked(error.what(), &replies);
  }
  changed_.notify_all();
  RunAll(replies);
  return true;
}

}  // namespace turmericshift::pool
