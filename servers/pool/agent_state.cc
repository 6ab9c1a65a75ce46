#include "servers/pool/agent_state.h"

#include <algorithm>

#include "core/logging.h"

namespace turmericshift::pool {
namespace {

// A worker's steady clock may be 2% slow, so a lease lasts that much longer than it says.
constexpr double kClockSlack = 1.02;
// More ends than this wait for the next report.
constexpr size_t kMostEndsReported = 200;
// An order is repeated until its outcome is known to the planner, which takes seconds at most. One
// that were forgotten sooner could be carried out twice.
constexpr Duration kRememberOrders = std::chrono::seconds(60);

int64_t Millis(Duration duration) {
  return duration_cast<std::chrono::milliseconds>(duration).count();
}

// A start that the worker carries out seconds late, two at least, finds its own deadline over and
// is refused. Leases are kept by holds, which reach further and come each second.
constexpr Duration kStartValid = std::chrono::milliseconds(1600);

bool Lists(const std::vector<RunningTask>& running, const RunId& run) {
  return std::any_of(running.begin(), running.end(),
                     [&](const RunningTask& each) { return each.run == run; });
}

}  // namespace

AgentState::AgentState(const std::string& node, const std::string& zone,
                       const std::string& incarnation)
    : node_(node), zone_(zone), incarnation_(incarnation) {}

void AgentState::NewLife(int64_t start_time_ms) {
  LogEvent(
      LogLevel::kInfo, "worker_new_life",
      {{"worker", facts_.id}, {"born_ms", start_time_ms}, {"before_ms", facts_.start_time_ms}});
  facts_ = WorkerFacts();
  facts_.start_time_ms = start_time_ms;
  announced_sequence_ = -1;
  left_ = false;
  running_.clear();
  ended_.clear();
  ends_kept_ = 0;
  starts_.clear();
  stops_.clear();
  stopped_at_.clear();
  results_.clear();
  clock_.reset();
  lists_epoch_ = 0;
  passed_on_until_ = Time{};
  leases_sent_.clear();
}

void AgentState::HandleAnnouncement(const WorkerAnnouncement& announcement) {
  const int64_t born = announcement.facts.start_time_ms;
  // A late word of a life that is over.
  if (born < facts_.start_time_ms) return;
  if (born > facts_.start_time_ms) NewLife(born);
  if (announcement.sequence <= announced_sequence_) return;
  announced_sequence_ = announcement.sequence;
  const bool reachable = facts_.reachable;
  // A worker that has said that it leaves does not come back in the same life.
  const bool draining = facts_.draining || announcement.facts.draining;
  facts_ = announcement.facts;
  facts_.reachable = reachable;
  facts_.draining = draining;
}

void AgentState::TakeLeft(const std::string& worker_id) {
  if (worker_id != facts_.id) return;
  facts_.draining = true;
  left_ = true;
  running_.clear();
}

bool AgentState::HandleLists(const WorkerLists& lists, int64_t fence, Time sent, Time now) {
  if (lists.start_time_ms < facts_.start_time_ms) return false;
  if (lists.start_time_ms > facts_.start_time_ms) NewLife(lists.start_time_ms);
  // The worker has heard of the highest fence before the later of two answers was made, whichever
  // of them is read first.
  const int64_t lists_epoch = std::max(lists_epoch_, fence);
  bool news = lists_epoch_ != lists_epoch || !facts_.reachable;
  facts_.reachable = true;
  lists_epoch_ = lists_epoch;
  for (const EndedTask& end : lists.ended) {
    if (end.number <= ends_kept_) continue;
    news = ended_.emplace(end.number, end).second || news;
  }
  const auto has_ended = [this](const RunId& run) {
    return std::any_of(ended_.begin(), ended_.end(),
                       [&](const auto& row) { return row.second.run == run; });
  };
  // Two looks at the worker may be under way at once, and their answers overtake each other. Taken
  // for news, the older list would bring back a run whose end the planner has taken in; one notices
  // by a task that nobody works on and that never starts again.
  if (clock_ && lists.clock < *clock_) return news;
  clock_ = lists.clock;
  clock_at_ = now;
  running_ = lists.running;
  // Both answers may be of one millisecond of the worker's clock.
  std::erase_if(running_, [&](const RunningTask& task) { return has_ended(task.run); });
  for (auto& [run, start] : starts_) {
    if (start.phase != StartPhase::kUncertain) continue;
    if (!Lists(running_, run) && !has_ended(run)) continue;
    start.phase = StartPhase::kStarted;
    SetResult(run, StartOutcome::kStarted, "");
    news = true;
  }
  for (auto stop = stopped_at_.begin(); stop != stopped_at_.end();) {
    if (sent < stop->second) {
      ++stop;
      continue;
    }
    // Neither there nor ended, and the worker will refuse it from now on.
    if (!Lists(running_, stop->first) && !has_ended(stop->first)) {
      SetResult(stop->first, StartOutcome::kNotRun, "stopped before it began");
      starts_[stop->first].phase = StartPhase::kNotRunning;
      news = true;
    }
    stop = stopped_at_.erase(stop);
  }
  return news;
}

void AgentState::WorkerFailed(OrderAnswer answer) {
  if (!facts_.reachable) return;
  facts_.reachable = false;
  LogEvent(LogLevel::kWarning, "worker_lost",
           {{"worker", facts_.id}, {"answer", OrderAnswerName(answer)}});
}

void AgentState::RaiseEpoch(int64_t epoch) {
  if (epoch <= epoch_) return;
  LogEvent(LogLevel::kInfo, "planner_obeyed", {{"epoch", epoch}, {"before", epoch_}});
  epoch_ = epoch;
  orders_seen_ = 0;
}

void AgentState::ForgetOldOrders(Time now) {
  std::erase_if(starts_, [&](const auto& row) {
    return now - row.second.ordered > kRememberOrders && !Lists(running_, row.first);
  });
  std::erase_if(stops_, [this](const RunId& run) {
    return starts_.count(run) == 0 && stopped_at_.count(run) == 0 && !Lists(running_, run);
  });
}

AgentOrders AgentState::HandleOrders(const AgentOrders& orders, Time sent, Time now) {
  AgentOrders todo;
  ForgetOldOrders(now);
  if (orders.epoch < epoch_) return todo;
  RaiseEpoch(orders.epoch);
  orders_seen_ = std::max(orders_seen_, orders.version);
  if (orders.lease > Duration::zero()) {
    lease_until_ = std::max(lease_until_, sent + orders.lease);
  }
  if (orders.worker_start_time_ms == facts_.start_time_ms && orders.acked_ends > ends_kept_) {
    ends_kept_ = orders.acked_ends;
    ended_.erase(ended_.begin(), ended_.upper_bound(ends_kept_));
  }
  for (const StartOrder& start : orders.starts) {
    if (!starts_.try_emplace(start.run, StartState{StartPhase::kSending, now}).second) continue;
    todo.starts.push_back(start);
  }
  for (const RunId& stop : orders.stops) {
    if (stops_.insert(stop).second) todo.stops.push_back(stop);
  }
  return todo;
}

AgentReport AgentState::Report(Duration wait, Time now) {
  AgentReport report;
  report.node = node_;
  report.zone = zone_;
  report.incarnation = incarnation_;
  report.sequence = ++report_sequence_;
  report.epoch = lists_epoch_ == epoch_ ? epoch_ : 0;
  report.orders_seen = orders_seen_;
  report.worker = facts_;
  if (!member_) report.worker.id.clear();
  Time passed_on_until = passed_on_until_;
  if (!leases_sent_.empty()) {
    passed_on_until = std::max(passed_on_until, LeaseOver(*leases_sent_.rbegin(), now));
  }
  report.lease_left = std::max(Duration::zero(), passed_on_until - now);
  report.running = running_;
  for (const auto& [number, end] : ended_) {
    if (report.ended.size() >= kMostEndsReported) break;
    report.ended.push_back(end);
  }
  for (const auto& [run, result] : results_) report.results.push_back(result);
  report.wait = wait;
  return report;
}

void AgentState::ReportDelivered(const AgentReport& report) {
  for (const StartResult& result : report.results) {
    const auto found = results_.find(result.run);
    if (found != results_.end() && found->second.outcome == result.outcome) results_.erase(found);
  }
}

WorkerMillis AgentState::WorkerClock(Time now) const {
  return clock_ ? *clock_ + Millis(now - clock_at_) : 0;
}

std::optional<WorkerMillis> AgentState::LeaseUntil(Time now) const {
  if (!clock_ || lease_until_ <= now) return std::nullopt;
  // The worker's clock read `clock_` no later than `clock_at_`, so this ends no later than
  // `lease_until_` but for the clock's own slack.
  return WorkerClock(now) + Millis(lease_until_ - now);
}

HoldCall AgentState::NextHold(Duration wait, Time now) const {
  HoldCall call;
  call.worker_id = facts_.id;
  call.fence = epoch_;
  call.acked_ends = ends_kept_;
  call.lease_until = LeaseUntil(now);
  call.wait = wait;
  return call;
}

Time AgentState::LeaseOver(WorkerMillis lease_until, Time now) const {
  const Duration left = std::chrono::milliseconds(lease_until - WorkerClock(now));
  return now + Scaled(left, kClockSlack);
}

void AgentState::NoteLeaseSent(std::optional<WorkerMillis> lease_until) {
  if (lease_until) leases_sent_.insert(*lease_until);
}

void AgentState::NoteLeaseAnswered(std::optional<WorkerMillis> lease_until, OrderAnswer answer,
                                   Time now) {
  if (!lease_until) return;
  const auto sent = leases_sent_.find(*lease_until);
  if (sent != leases_sent_.end()) leases_sent_.erase(sent);
  if (answer == OrderAnswer::kNotListening) return;
  passed_on_until_ = std::max(passed_on_until_, LeaseOver(*lease_until, now));
}

std::optional<StartCall> AgentState::PrepareStart(const StartOrder& order, Time until,
                                                  std::string* why, Time now) const {
  const std::optional<WorkerMillis> lease = LeaseUntil(now);
  if (now >= until) {
    *why = "the order is too old";
  } else if (facts_.draining) {
    *why = "the worker leaves";
  } else if (stops_.count(order.run) > 0) {
    *why = "stopped before it was sent";
  } else if (!lease) {
    *why = "no lease";
  } else if (lists_epoch_ != epoch_) {
    *why = "the worker has not been read under this planner";
  } else {
    StartCall call;
    call.worker_id = facts_.id;
    call.run = order.run;
    call.payload = order.payload;
    call.checkpoint = order.checkpoint;
    call.ticket = order.ticket;
    call.lease_until = std::min(*lease, WorkerClock(now) + Millis(kStartValid));
    call.fence = epoch_;
    return call;
  }
  return std::nullopt;
}

void AgentState::SetResult(const RunId& run, StartOutcome outcome, const std::string& reason) {
  results_[run] = {run, outcome, reason};
}

void AgentState::StartNotSent(const RunId& run, const std::string& why) {
  starts_[run].phase = StartPhase::kNotRunning;
  SetResult(run, StartOutcome::kRefused, why);
}

void AgentState::HandleStartAnswer(const RunId& run, OrderAnswer answer) {
  const auto found = starts_.find(run);
  // The worker has begun a new life meanwhile.
  if (found == starts_.end()) return;
  switch (answer) {
    case OrderAnswer::kAccepted:
      found->second.phase = StartPhase::kStarted;
      SetResult(run, StartOutcome::kStarted, "");
      return;
    case OrderAnswer::kUnanswered:
      found->second.phase = StartPhase::kUncertain;
      return;
    case OrderAnswer::kFenced:
    case OrderAnswer::kStaleRun:
    case OrderAnswer::kExpired:
    case OrderAnswer::kNoRoom:
    case OrderAnswer::kInvalid:
      found->second.phase = StartPhase::kNotRunning;
      SetResult(run, StartOutcome::kRefused, OrderAnswerName(answer));
      return;
    case OrderAnswer::kTicketRejected:
      found->second.phase = StartPhase::kNotRunning;
      SetResult(run, StartOutcome::kTicketRefused, OrderAnswerName(answer));
      return;
    case OrderAnswer::kUnhealthy:
    case OrderAnswer::kOtherIncarnation:
    case OrderAnswer::kNotListening:
      found->second.phase = StartPhase::kNotRunning;
      SetResult(run, StartOutcome::kNotRun, OrderAnswerName(answer));
      return;
  }
}

void AgentState::HandleStopAnswer(const RunId& run, OrderAnswer answer, Time now) {
  if (answer == OrderAnswer::kAccepted || answer == OrderAnswer::kStaleRun) {
    // The planner repeats a stop until it hears what came of it. The first one counts: looks at the
    // worker take longer than its polls, so that none would come late enough after the newest.
    stopped_at_.try_emplace(run, now);
    return;
  }
  // Asked for again with the planner's next answer.
  stops_.erase(run);
}

std::vector<RunId> AgentState::UncertainRuns() const {
  std::vector<RunId> runs;
  for (const auto& [run, start] : starts_) {
    if (start.phase == StartPhase::kUncertain && stopped_at_.count(run) == 0) runs.push_back(run);
  }
  return runs;
}

}  // namespace turmericshift::pool
