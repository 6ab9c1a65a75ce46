#include "servers/pool/planner_service.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "core/logging.h"

namespace turmericshift::pool {
namespace {

// How often leases and limits are checked when nothing else happens.
constexpr Duration kTickInterval = std::chrono::milliseconds(100);
// Delay before an append is retried; doubled with each retry. A store that rejects this VM must not
// be flooded, and its return should be noticed soon.
constexpr Duration kRetryPause = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryPause = std::chrono::milliseconds(200);
// After a planning round, the planning thread pauses for this multiple of the round's duration.
constexpr int kRoundPauseFactor = 2;
constexpr Duration kMaxRoundPause = std::chrono::milliseconds(50);
// A planner repeats its request as long as the store rejects it. An older request must not depose a
// planner that the store serves again.
constexpr Duration kTakeoverRequestLifetime = std::chrono::seconds(1);
// How long a planner that is released waits for the answers to its starts, so that its successor
// need not.
constexpr Duration kStartAnswerLimit = std::chrono::milliseconds(200);
constexpr Duration kStartAnswerCheckInterval = std::chrono::milliseconds(10);
// No pause follows a round shorter than this.
constexpr Duration kShortRound = std::chrono::milliseconds(1);

}  // namespace

PlannerService::PlannerService(const PlannerServiceOptions& options, KeyedLog* log,
                               const OperatorView* operators, const MembersView* members,
                               MetricsRegistry* metrics)
    : options_(options),
      log_(log),
      operators_(operators),
      members_(members),
      appends_(metrics->counter("store_appends")),
      append_failures_(metrics->counter("store_append_failures")),
      append_seconds_(metrics->distribution("store_append_seconds")),
      round_seconds_(metrics->distribution("planner_round_seconds")),
      lag_seconds_(metrics->gauge("planner_late_seconds")),
      jobs_(metrics->gauge("planner_jobs")),
      epoch_gauge_(metrics->gauge("planner_epoch")),
      learned_records_(metrics->counter("learned_records")),
      learned_bytes_(metrics->counter("learned_bytes")),
      learned_dropped_(metrics->counter("learned_dropped")),
      workers_slow_(metrics->gauge("workers_slow")),
      workers_fast_(metrics->gauge("workers_fast")),
      worker_speed_spread_(metrics->gauge("worker_speed_spread")),
      outdated_workers_(metrics->gauge("workers_outdated")),
      overuse_max_(metrics->gauge("workspace_overuse_max")),
      over_share_(metrics->gauge("workspaces_over_share")),
      rejected_pool_(metrics->counter("jobs_rejected_for_load_pool_overloaded")),
      rejected_workspace_(metrics->counter("jobs_rejected_for_load_workspace_overloaded")),
      backlog_seconds_(metrics->gauge("admission_backlog_seconds")),
      former_process_settled_at_(LeaseClock().Now() + StartSettleTime(options.planner)) {
  try {
    planning_thread_ = Thread(ThreadRole::kEssential, "decide", [this] { RunPlanningLoop(); });
    writer_thread_ = Thread(ThreadRole::kEssential, "write", [this] { RunWriteLoop(); });
  } catch (...) {
    // The destructor does not run, and nothing else tells the started thread to end.
    StopThreads();
    throw;
  }
}

PlannerService::~PlannerService() {
  StopThreads();
  StepDown("the process stops");
}

void PlannerService::StopThreads() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  write_ready_.notify_all();
  advice_ready_.notify_all();
}

Error PlannerService::NotActiveError() {
  return {ErrorKind::kConflict, Outcome::kNotRun, "this process does not plan the pool"};
}

void PlannerService::BecomeActive(int64_t epoch, int64_t sequence, const JobTable& table,
                                  const std::set<std::string>& agents, Time requested_at,
                                  const std::vector<PlannerRecord>& former,
                                  bool follows_former_process) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    // The successor has been told that this process grants no leases.
    if (successor_.epoch > epoch) return;
    planner_ = std::make_unique<PoolPlanner>(options_.planner, epoch, table, agents,
                                             LeaseClock().Now(), LeaseClock().WallMillis());
    CountLearnedLocked();
    planner_->ConfirmLeadership(requested_at);
    if (!follows_former_process) former_process_settled_at_ = {};
    former_planners_ = former;
    removal_ = {};
    membership_.reset();
    UpdateListedAgentsLocked();
    epoch_gauge_.Set(static_cast<double>(epoch));
    sequence_ = sequence;
    rejected_since_.reset();
    releasing_ = false;
    last_write_ = requested_at;
    append_started_at_.reset();
    replan_needed_ = true;
  }
  LogEvent(LogLevel::kInfo, "duty_taken",
           {{"epoch", epoch}, {"jobs", table.jobs().size()}, {"agents", agents.size()}});
  changed_.notify_all();
  write_ready_.notify_all();
}

void PlannerService::RecordAdmissionLocked() {
  backlog_seconds_.Set(Seconds(planner_->admission_backlog()));
  for (const auto& [reason, count] : planner_->TakeRejections()) {
    const bool pool = reason == admission::RefusalReason::kPoolOverloaded;
    (pool ? rejected_pool_ : rejected_workspace_).Add(count);
  }
}

void PlannerService::StepDownLocked(const char* reason, Replies* replies) {
  if (!planner_) return;
  LogEvent(LogLevel::kWarning, "duty_ended", {{"epoch", planner_->epoch()}, {"reason", reason}});
  handover_allowed_at_ = std::max(handover_allowed_at_, planner_->HandoverAllowedAt());
  planner_.reset();
  epoch_gauge_.Set(0);
  SetSpeedGauges({});
  outdated_workers_.Set(0);
  append_started_at_.reset();
  for (auto& [node, poll] : polls_) {
    replies->push_back(Failed(std::move(poll.done), NotActiveError()));
  }
  polls_.clear();
  intake_.End(replies);
}

void PlannerService::SetSpeedGauges(const speeds::SpeedSummary& summary) {
  workers_slow_.Set(summary.slow);
  workers_fast_.Set(summary.fast);
  worker_speed_spread_.Set(summary.spread);
}

Time PlannerService::former_process_settled_at() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return former_process_settled_at_;
}

void PlannerService::PredecessorGone() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (planner_) planner_->PredecessorGone(std::max(LeaseClock().Now(), handover_allowed_at_));
}

void PlannerService::ForgetFormerPlanners(const PlannerRecord& self) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!planner_ || planner_->epoch() != self.epoch || releasing_) return;
  if (former_planners_.empty()) return;
  former_planners_.clear();
  planner_->outbox().Put(kPlannerKey, EncodePlanner(self));
  write_ready_.notify_all();
}

void PlannerService::StepDown(const char* reason) {
  Replies replies;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    StepDownLocked(reason, &replies);
  }
  write_ready_.notify_all();
  RunAll(replies);
}

void PlannerService::Release(Duration limit) {
  std::unique_lock<std::mutex> lock(mutex_);
  if (!planner_) return;
  planner_->BeginRelease(LeaseClock().WallMillis(), LeaseClock().Now());
  CountLearnedLocked();
  const Time answers_until = LeaseClock().Now() + std::min(limit, kStartAnswerLimit);
  const auto handover_allowed = [this](Time now) {
    return now >= std::max(planner_->HandoverAllowedAt(), former_process_settled_at_);
  };
  while (planner_ && !handover_allowed(LeaseClock().Now()) && LeaseClock().Now() < answers_until) {
    changed_.wait_for(lock, kStartAnswerCheckInterval);
  }
  if (!planner_) return;
  std::vector<PlannerRecord> former = former_planners_;
  if (!handover_allowed(LeaseClock().Now()) && stored_planner_.epoch == planner_->epoch()) {
    former.push_back({stored_planner_.epoch, stored_planner_.node, stored_planner_.address});
  }
  planner_->EndLeases();
  planner_->outbox().Put(kPlannerKey, EncodePlanner({planner_->epoch(), "", "", former}));
  releasing_ = true;
  write_ready_.notify_all();
  changed_.wait_for(lock, limit, [this] { return !planner_; });
}

int64_t PlannerService::epoch() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return planner_ ? planner_->epoch() : 0;
}

std::optional<AgentRemoval> PlannerService::RemoveSilentAgents(Duration limit, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!planner_ || !planner_->LeadershipConfirmed(now)) return std::nullopt;
  const std::shared_ptr<const Membership> membership = members_->membership();
  if (!membership->IsCurrentFor(planner_->epoch())) return std::nullopt;
  // The store may still carry out the newest removal.
  if (membership->end <= removal_.expected_end) return removal_;
  AgentRemoval removal = {{}, membership->end};
  for (const std::string& node : membership->agents) {
    const auto known = planner_->workers().find(node);
    if (known != planner_->workers().end() && now - known->second.last_report < limit) continue;
    // A successor does not wait for the runs of an agent that is not listed.
    if (planner_->MayHaveRuns(node, now)) continue;
    removal.nodes.insert(node);
  }
  if (removal.nodes.empty()) return std::nullopt;
  removal_ = removal;
  membership_.reset();
  UpdateListedAgentsLocked();
  return removal;
}

void PlannerService::CountLearnedLocked() {
  const learned::LearnedCounts counts = planner_->learned_state().TakeCounts();
  learned_records_.Add(counts.records);
  learned_bytes_.Add(counts.bytes);
  learned_dropped_.Add(counts.dropped);
}

void PlannerService::UpdateListedAgentsLocked() {
  std::shared_ptr<const Membership> membership = members_->membership();
  if (membership == membership_) return;
  std::set<std::string> listed;
  if (membership->IsCurrentFor(planner_->epoch())) listed = membership->agents;
  if (membership->end <= removal_.expected_end) {
    for (const std::string& node : removal_.nodes) listed.erase(node);
  }
  planner_->SetListedAgents(listed);
  membership_ = std::move(membership);
}

std::optional<AdviceRequest> PlannerService::NextAdviceRequest(Duration limit) {
  std::unique_lock<std::mutex> lock(mutex_);
  std::optional<AdviceRequest> request;
  advice_ready_.wait_for(lock, limit, [&] {
    if (planner_) request = planner_->advice().Next(LeaseClock().Now());
    return request.has_value() || stopping_;
  });
  return request;
}

void PlannerService::HandleAdvice(const AdviceRequest& request, const AdviceResponse& response,
                                  Time requested_at) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!planner_) return;
    planner_->advice().Take(request, response, requested_at, LeaseClock().Now());
    planner_->NoteAdvice();
    replan_needed_ = true;
  }
  changed_.notify_all();
}

void PlannerService::AdviceFailed(bool unanswered, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (planner_) planner_->advice().Failed(unanswered, now);
}

void PlannerService::Exchange(const AgentReport& report,
                              std::function<void(Result<AgentOrders>)> done) {
  const Time now = LeaseClock().Now();
  Replies replies;
  bool replan = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!planner_ && !successor_.address.empty()) {
      AgentOrders elsewhere;
      elsewhere.planner_epoch = successor_.epoch;
      elsewhere.planner_address = successor_.address;
      replies.push_back(Succeeded(std::move(done), elsewhere));
    } else if (!planner_) {
      replies.push_back(Failed(std::move(done), NotActiveError()));
    } else {
      replan = HandleReport(report, std::move(done), now, &replies);
      replan_needed_ = replan_needed_ || replan;
    }
  }
  // Most polls require no planning, and waking a thread costs more than handling the poll.
  if (replan) changed_.notify_all();
  RunAll(replies);
}

bool PlannerService::HandleReport(const AgentReport& report,
                                  std::function<void(Result<AgentOrders>)> done, Time now,
                                  Replies* replies) {
  const int64_t orders_version = planner_->orders_version();
  if (!planner_->ApplyReport(report, LeaseClock().WallMillis(), now)) {
    const Error refusal(ErrorKind::kConflict, Outcome::kNotRun,
                        "another process of the agent has reported since");
    replies->push_back(Failed(std::move(done), refusal));
    return false;
  }
  const auto earlier = polls_.find(report.node);
  if (earlier != polls_.end() && report.wait > Duration::zero()) {
    // The agent has abandoned its earlier poll; the connection of that poll may be gone.
    replies->push_back(
        Succeeded(std::move(earlier->second.done), planner_->Orders(report.node, now)));
    polls_.erase(earlier);
  }
  if (report.wait > Duration::zero() && !planner_->HasPendingOrders(report.node)) {
    polls_[report.node] = {std::move(done), now + report.wait};
  } else {
    replies->push_back(Succeeded(std::move(done), planner_->Orders(report.node, now)));
    if (report.wait > Duration::zero()) planner_->NotePollAnswered(report.node, now);
  }
  return planner_->needs_planning() || planner_->orders_version() != orders_version ||
         !planner_->outbox().empty();
}

template <typename Take>
void PlannerService::AcceptCall(JobIntake::OnDone done, Take&& take) {
  Replies replies;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!planner_ || releasing_) {
      replies.push_back(Failed(std::move(done), NotActiveError()));
    } else {
      take(std::move(done), LeaseClock().Now(), &replies);
      replan_needed_ = true;
    }
  }
  write_ready_.notify_all();
  changed_.notify_all();
  RunAll(replies);
}

void PlannerService::Submit(const JobSpec& spec, std::function<void(Result<Done>)> done) {
  AcceptCall(std::move(done), [&](JobIntake::OnDone answer, Time now, Replies* replies) {
    intake_.Submit(spec, append_started_at_, planner_.get(), std::move(answer), now, replies);
  });
}

void PlannerService::Cancel(const std::string& id, std::function<void(Result<Done>)> done) {
  AcceptCall(std::move(done), [&](JobIntake::OnDone answer, Time now, Replies* replies) {
    intake_.Cancel(id, LeaseClock().WallMillis(), planner_.get(), std::move(answer), now, replies);
  });
}

// A planner that has lost the store may still be reachable by everyone else. Until it learns that
// it has been succeeded it continues to grant leases, and agents that have lost the store as well
// stay with it. The successor can then start nothing on their workers and can't restart tasks that
// they may still run. The symptom is a `duty_ended` many seconds after the next `duty_taken`.
void PlannerService::Yield(const PlannerRecord& successor, std::function<void(Result<Done>)> done) {
  Replies replies;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (successor.epoch > successor_.epoch) successor_ = successor;
    if (planner_ && successor.epoch > planner_->epoch()) {
      StepDownLocked("a newer planner has said so", &replies);
    }
    if (planner_) {
      const Error refusal(ErrorKind::kConflict, Outcome::kNotRun,
                          "this process plans under a newer epoch");
      replies.push_back(Failed(std::move(done), refusal));
    } else if (LeaseClock().Now() < std::max(handover_allowed_at_, former_process_settled_at_)) {
      const Error refusal(ErrorKind::kConflict, Outcome::kNotRun,
                          "runs may outlive the leases that this entry has granted");
      replies.push_back(Failed(std::move(done), refusal));
    } else {
      replies.push_back(Succeeded(std::move(done), Done{}));
    }
  }
  write_ready_.notify_all();
  RunAll(replies);
}

void PlannerService::Offer(std::function<void(Result<Done>)> done) {
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

// The claim itself decides whether the planner is replaced, so a request that is late, or from a
// planner that has been replaced since, does no harm.
void PlannerService::TakeOver(const PlannerRecord& planner,
                              std::function<void(Result<Done>)> done) {
  Replies replies;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (would_take_over_ && stored_planner_.epoch == planner.epoch) {
      takeover_epoch_ = planner.epoch;
      takeover_requested_at_ = LeaseClock().Now();
      replies.push_back(Succeeded(std::move(done), Done{}));
    } else {
      const Error refusal(ErrorKind::kConflict, Outcome::kNotRun, "this entry claims no duty now");
      replies.push_back(Failed(std::move(done), refusal));
    }
  }
  LogEvent(LogLevel::kInfo, "takeover_requested",
           {{"epoch", planner.epoch}, {"node", planner.node}});
  RunAll(replies);
}

std::optional<Time> PlannerService::rejected_since() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return planner_ ? rejected_since_ : std::nullopt;
}

int64_t PlannerService::takeover_epoch(Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return now - takeover_requested_at_ < kTakeoverRequestLifetime ? takeover_epoch_ : 0;
}

void PlannerService::SetLeadershipView(const PlannerRecord& planner, bool would_claim,
                                       bool would_take_over) {
  const std::lock_guard<std::mutex> lock(mutex_);
  stored_planner_ = planner;
  would_claim_ = would_claim;
  would_take_over_ = would_take_over;
}

PlannerRecord PlannerService::KnownPlanner() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return successor_.epoch > stored_planner_.epoch ? successor_ : stored_planner_;
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

void PlannerService::RunPlanningLoop() {
  while (true) {
    Replies replies;
    Time begun{};
    {
      std::unique_lock<std::mutex> lock(mutex_);
      changed_.wait_for(lock, kTickInterval, [this] { return replan_needed_ || stopping_; });
      if (stopping_) return;
      replan_needed_ = false;
      if (!planner_) continue;
      const Time now = LeaseClock().Now();
      begun = now;
      const Freshness read = operators_->freshness();
      if (read.requested_at) planner_->SetOperatorState(operators_->state(), *read.requested_at);
      UpdateListedAgentsLocked();
      planner_->NoteDurable();
      planner_->Plan(LeaseClock().WallMillis(), now);
      CountLearnedLocked();
      AnswerPolls(now, &replies);
      intake_.Answer(append_started_at_, planner_.get(), now, &replies);
      jobs_.Set(static_cast<double>(planner_->job_count()));
      lag_seconds_.Set(Seconds(planner_->lag()));
      SetSpeedGauges(planner_->worker_speeds().summary());
      outdated_workers_.Set(planner_->releases().outdated_workers());
      const shares::SharesSummary shares = planner_->workspace_shares().summary(now);
      overuse_max_.Set(shares.max_overuse);
      over_share_.Set(shares.over_share);
      RecordAdmissionLocked();
      if (!planner_->outbox().empty()) write_ready_.notify_all();
      advice_ready_.notify_all();
    }
    RunAll(replies);
    const Duration took = LeaseClock().Now() - begun;
    round_seconds_.Record(Seconds(took));
    PauseAfter(took);
  }
}

// Agents' polls and callers are handled during the pause: long rounds would otherwise keep them
// waiting. The next round then processes more updates at once.
void PlannerService::PauseAfter(Duration round) {
  if (round < kShortRound) return;
  std::this_thread::sleep_for(std::min(round * kRoundPauseFactor, kMaxRoundPause));
}

void PlannerService::RunWriteLoop() {
  while (true) {
    std::vector<KeyedRecord> records;
    int64_t epoch = 0;
    int64_t sequence = 0;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      write_ready_.wait_for(lock, options_.beat / 2, [this] {
        return stopping_ || (planner_ && !planner_->outbox().empty());
      });
      if (stopping_) return;
      const Time now = LeaseClock().Now();
      if (!planner_ || (planner_->outbox().empty() && now - last_write_ < options_.beat)) continue;
      records = planner_->outbox().Take();
      if (records.empty()) records.push_back({kHeartbeatKey, "1", kNoOffset});
      epoch = planner_->epoch();
      sequence = ++sequence_;
      append_started_at_ = now;
    }
    Duration pause = kRetryPause;
    Time start = LeaseClock().Now();
    while (!AppendOnce(records, epoch, sequence)) {
      // A call that timed out has already been a pause.
      if (LeaseClock().Now() - start < options_.append_timeout) std::this_thread::sleep_for(pause);
      pause = std::min(2 * pause, kMaxRetryPause);
      start = LeaseClock().Now();
      const std::lock_guard<std::mutex> lock(mutex_);
      if (stopping_ || !planner_ || planner_->epoch() != epoch) break;
    }
  }
}

bool PlannerService::AppendOnce(const std::vector<KeyedRecord>& records, int64_t epoch,
                                int64_t sequence) {
  const Time requested_at = LeaseClock().Now();
  Replies replies;
  try {
    log_->Append(kWorkTopic, records, {std::nullopt, kPlannerProducer, epoch, sequence},
                 options_.append_timeout);
    appends_.Add();
    append_seconds_.Record(Seconds(LeaseClock().Now() - requested_at));
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!planner_ || planner_->epoch() != epoch) return true;
    rejected_since_.reset();
    planner_->outbox().MarkDurable();
    planner_->ConfirmLeadership(requested_at);
    append_started_at_.reset();
    last_write_ = requested_at;
    replan_needed_ = true;
    if (releasing_ && planner_->outbox().empty()) {
      intake_.Answer(std::nullopt, planner_.get(), requested_at, &replies);
      StepDownLocked("given up", &replies);
    }
  } catch (const Error& error) {
    append_failures_.Add();
    if (error.kind() != ErrorKind::kFenced && error.kind() != ErrorKind::kConflict) {
      // Logged once for each failing append; the attempts are counted in a metric.
      if (logged_failed_sequence_ != sequence) {
        LogEvent(LogLevel::kWarning, "append_failed",
                 {{"epoch", epoch}, {"sequence", sequence}, {"error", error.what()}});
      }
      logged_failed_sequence_ = sequence;
      const std::lock_guard<std::mutex> lock(mutex_);
      const bool rejected =
          error.kind() == ErrorKind::kLogUnavailable && error.outcome() == Outcome::kNotRun;
      if (!rejected) {
        rejected_since_.reset();
      } else if (!rejected_since_) {
        rejected_since_ = requested_at;
      }
      return false;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    if (planner_ && planner_->epoch() == epoch) StepDownLocked(error.what(), &replies);
  }
  changed_.notify_all();
  RunAll(replies);
  return true;
}

}  // namespace turmericshift::pool
