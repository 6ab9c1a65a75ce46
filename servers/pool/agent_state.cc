#include "servers/pool/agent_state.h"

#include <algorithm>

#include "core/logging.h"
#include "servers/pool/worker_fence.h"

namespace turmericshift::pool {
namespace {

// A worker's monotonic clock may run 2% slow, so a lease may last that much longer than stated.
constexpr double kClockDriftFactor = 1.02;
constexpr double kSlowestClockRate = 0.98;
// Limits the size of a report. Further ends are sent once these have been acknowledged.
constexpr size_t kMaxEndsPerReport = 200;
// The planner repeats an order until it knows the outcome, which takes seconds at most. An order
// forgotten earlier could be carried out twice.
constexpr Duration kOrderRetention = std::chrono::seconds(60);

int64_t Millis(Duration duration) {
  return duration_cast<std::chrono::milliseconds>(duration).count();
}

// Limits the lease of a start, so that a worker which leaves the start unanswered and processes it
// later, at least 2 s after it was sent, finds the lease expired and refuses the start. Holds, sent
// every second, extend leases further.
constexpr Duration kStartValidity = std::chrono::milliseconds(1600);

std::optional<int64_t> FirstNumber(const std::vector<EndedTask>& ends) {
  const auto first = std::min_element(
      ends.begin(), ends.end(),
      [](const EndedTask& left, const EndedTask& right) { return left.number < right.number; });
  return first == ends.end() ? std::nullopt : std::make_optional(first->number);
}

bool Contains(const std::vector<RunningTask>& running, const RunId& run) {
  return std::any_of(running.begin(), running.end(),
                     [&](const RunningTask& each) { return each.run == run; });
}

}  // namespace

AgentState::AgentState(const std::string& node, const std::string& zone,
                       const std::string& incarnation, Duration longest_lease)
    : node_(node),
      zone_(zone),
      incarnation_(incarnation),
      longest_lease_(Scaled(longest_lease, kClockDriftFactor)) {}

void AgentState::ResetForIncarnation(int64_t start_time_ms) {
  LogEvent(
      LogLevel::kInfo, "worker_new_life",
      {{"worker", facts_.id}, {"born_ms", start_time_ms}, {"before_ms", facts_.start_time_ms}});
  const bool follows_known_incarnation = facts_.start_time_ms != 0 || fence_confirmed_for_ms_ != 0;
  const bool has_token = fence_confirmed_for_ms_ == start_time_ms;
  if (planner_assigns_fences_ && follows_known_incarnation && !has_token) {
    fence_ = NextFence(fence_);
  }
  if (follows_known_incarnation) former_calls_refused_ = false;
  former_id_ = facts_.id;
  may_be_other_incarnation_ = false;
  facts_ = WorkerFacts();
  facts_.start_time_ms = start_time_ms;
  other_service_.clear();
  announced_sequence_ = -1;
  departed_ = false;
  announced_draining_ = false;
  running_.clear();
  ended_.clear();
  lists_leave_out_ends_ = false;
  acked_ends_ = 0;
  first_listed_end_.reset();
  starts_.clear();
  stops_.clear();
  stopped_at_.clear();
  results_.clear();
  worker_clock_.reset();
  lists_fence_ = 0;
  granted_lease_expiry_ = Time{};
  if (start_unanswered_at_) {
    start_lease_expiry_ = std::max(start_lease_expiry_, unanswered_lease_expiry_);
    start_unanswered_at_.reset();
  }
  former_leases_in_flight_.merge(leases_in_flight_);
}

void AgentState::HandleAnnouncement(const WorkerAnnouncement& announcement) {
  const int64_t start_time_ms = announcement.facts.start_time_ms;
  // A delayed announcement of a previous incarnation.
  if (start_time_ms < facts_.start_time_ms) return;
  if (start_time_ms > facts_.start_time_ms) ResetForIncarnation(start_time_ms);
  if (!ConfirmsService(announcement)) return;
  if (announcement.sequence <= announced_sequence_) return;
  announced_sequence_ = announcement.sequence;
  const bool reachable = facts_.reachable;
  // A worker that has announced that it leaves does not return within the same incarnation.
  announced_draining_ = announced_draining_ || announcement.facts.draining;
  // Workers announce that they leave before they do. Without that, the message that the worker has
  // left came from a former incarnation with the same ID.
  departed_ = departed_ && announced_draining_;
  unknown_worker_left_ = false;
  facts_ = announcement.facts;
  facts_.reachable = reachable;
  facts_.draining = announced_draining_ || departed_;
}

bool AgentState::ConfirmsService(const WorkerAnnouncement& announcement) {
  const std::string& service = announcement.facts.service;
  if (facts_.service.empty() || service == facts_.service) {
    other_service_.clear();
    return true;
  }
  LogEvent(LogLevel::kWarning, "announcement_of_other_service",
           {{"worker", facts_.id}, {"service", facts_.service}, {"announced", service}});
  if (service != other_service_) {
    other_service_ = service;
    return false;
  }
  // The former announcements came from the other writer.
  other_service_.clear();
  announced_sequence_ = -1;
  announced_draining_ = false;
  departed_ = false;
  return true;
}

void AgentState::HandleDeparture(const std::string& worker_id) {
  if (worker_id != facts_.id) return;
  facts_.draining = true;
  departed_ = true;
  // Without an announcement, the message may be a delayed one of a former incarnation with the same
  // ID or come from another writer. The runs are then over once the worker's leases have expired.
  if (announced_draining_) running_.clear();
}

bool AgentState::HandleLists(const WorkerLists& lists, int64_t fence, Time sent, Time now) {
  // A lower start time is a late answer of a former incarnation, unless the hold was sent after the
  // newest answer: then the wall clock of the worker's VM has been set back.
  const bool is_late = sent <= worker_clock_read_at_;
  if (lists.start_time_ms < facts_.start_time_ms && is_late) return false;
  if (lists.start_time_ms != facts_.start_time_ms) ResetForIncarnation(lists.start_time_ms);
  // Two answers may be read out of order. The worker does not forget the highest fencing token that
  // it has seen, so the higher of the two is kept.
  const bool is_older_token = fence < lists_fence_;
  const int64_t lists_fence = std::max(lists_fence_, fence);
  const bool first_lists = lists_fence_ != lists_fence;
  bool report_needed = first_lists || !facts_.reachable;
  facts_.reachable = true;
  lists_requested_at_ = std::max(lists_requested_at_, sent);
  if (start_unanswered_at_ && sent > *start_unanswered_at_) start_unanswered_at_.reset();
  if (incarnation_verified()) may_be_other_incarnation_ = false;
  lists_fence_ = lists_fence;
  if (!former_calls_refused_ && is_read()) NoteFormerCallsRefused(now);
  if (first_lists) {
    LogEvent(LogLevel::kInfo, "worker_read",
             {{"worker", facts_.id},
              {"born_ms", facts_.start_time_ms},
              {"fence", lists_fence_},
              {"clock_ms", lists.clock},
              {"running", lists.running.size()},
              {"ended", lists.ended.size()},
              {"more_ends", lists.more_ends}});
  }
  for (const EndedTask& end : lists.ended) {
    if (end.number <= acked_ends_) continue;
    report_needed = ended_.emplace(end.number, end).second || report_needed;
  }
  const auto has_ended = [this](const RunId& run) {
    return std::any_of(ended_.begin(), ended_.end(),
                       [&](const auto& row) { return row.second.run == run; });
  };
  // Two holds may be in flight at the same time and their answers may be read out of order. An
  // older list must not be used: it would restore a run whose end the planner has already
  // processed. The symptom is a task that no worker runs and that is never started again.
  if (worker_clock_ && lists.clock < *worker_clock_) return report_needed;
  if (worker_clock_ && lists.clock == *worker_clock_ && is_older_token) return report_needed;
  worker_clock_ = lists.clock;
  worker_clock_read_at_ = now;
  running_ = lists.running;
  lists_leave_out_ends_ = lists.more_ends;
  first_listed_end_ = FirstNumber(lists.ended);
  // Both answers may carry the same millisecond of the worker's clock; an end then takes
  // precedence.
  std::erase_if(running_, [&](const RunningTask& task) { return has_ended(task.run); });
  for (auto& [run, start] : starts_) {
    if (start.phase != StartPhase::kUncertain) continue;
    if (!Contains(running_, run) && !has_ended(run)) continue;
    start.phase = StartPhase::kStarted;
    SetResult(run, StartOutcome::kStarted, "");
    report_needed = true;
  }
  for (auto stop = stopped_at_.begin(); stop != stopped_at_.end();) {
    const bool listed = Contains(running_, stop->first) || has_ended(stop->first);
    // A run that is not listed may be among the ends that the lists leave out.
    const bool may_be_missing = lists.more_ends || !FollowsAllAttempts(stop->first, sent);
    if (sent < stop->second || (!listed && may_be_missing)) {
      ++stop;
      continue;
    }
    // The run neither runs nor has ended, and the worker will refuse it from now on.
    if (!listed) {
      SetResult(stop->first, StartOutcome::kNotRun, "stopped before it began");
      starts_[stop->first].phase = StartPhase::kNotRunning;
      report_needed = true;
    }
    stop = stopped_at_.erase(stop);
  }
  return report_needed;
}

bool AgentState::FollowsAllAttempts(const RunId& run, Time sent) const {
  const auto found = starts_.find(run);
  if (found == starts_.end()) return true;
  return found->second.phase != StartPhase::kSending && sent >= found->second.answered;
}

void AgentState::NoteFormerProcess(Time now) {
  start_lease_expiry_ = now + longest_lease_;
  former_calls_refused_ = false;
}

void AgentState::NoteFormerCallsRefused(Time now) {
  former_calls_refused_ = true;
  // An incarnation with another ID refuses all calls that name the former one.
  const bool ids_known = !facts_.id.empty() && !former_id_.empty();
  const bool refused_all = ids_known && facts_.id != former_id_ && !lease_sent_without_id_;
  lease_sent_without_id_ = false;
  if (!refused_all) former_lease_expiry_ = now + longest_lease_;
}

void AgentState::WorkerFailed(OrderAnswer answer) {
  if (!facts_.reachable) return;
  facts_.reachable = false;
  LogEvent(LogLevel::kWarning, "worker_lost",
           {{"worker", facts_.id}, {"answer", OrderAnswerName(answer)}});
}

void AgentState::HoldFailed(const HoldCall& call, OrderAnswer answer) {
  if (call.worker_start_time_ms == facts_.start_time_ms) WorkerFailed(answer);
  if (answer == OrderAnswer::kUnanswered && !incarnation_verified()) {
    may_be_other_incarnation_ = true;
  }
  if (answer != OrderAnswer::kFenced || call.fence != fence_) return;
  if (call.worker_start_time_ms != facts_.start_time_ms) return;
  // A former process of the agent may have raised the token for an incarnation of which the planner
  // has not learned. A delayed call for a former incarnation may have raised it for this one.
  const bool is_known = facts_.start_time_ms != 0;
  if (is_known && !planner_assigns_fences_) return;
  RaiseFence(NextFence(fence_));
  fence_confirmed_for_ms_ = 0;
}

void AgentState::RaiseFence(int64_t fence) {
  if (fence <= fence_) return;
  fence_ = fence;
  former_calls_refused_ = false;
}

bool AgentState::is_gone(Time now) const {
  const bool unknown_left = unknown_worker_left_ && facts_.id.empty();
  if (!departed_ && !unknown_left) return false;
  if (announced_draining_) return running_.empty();
  return !facts_.reachable && LastLeaseExpiry(now) <= now;
}

bool AgentState::may_host_runs(Time now) const {
  if (is_gone(now)) return false;
  return !running_.empty() || (!facts_.id.empty() && !departed_);
}

void AgentState::RaiseEpoch(int64_t epoch) {
  if (epoch <= epoch_) return;
  LogEvent(LogLevel::kInfo, "planner_obeyed", {{"epoch", epoch}, {"before", epoch_}});
  epoch_ = epoch;
  orders_seen_ = 0;
  if (fence_ >= epoch) return;
  fence_ = epoch;
  fence_confirmed_for_ms_ = 0;
}

void AgentState::AdoptFence(const AgentOrders& orders) {
  planner_assigns_fences_ = orders.fence > 0;
  if (!planner_assigns_fences_) {
    fence_confirmed_for_ms_ = facts_.start_time_ms;
    return;
  }
  if (orders.worker_start_time_ms < facts_.start_time_ms) {
    // The planner does not know this incarnation yet, but has assigned a token to a former one.
    if (orders.worker_start_time_ms != 0) RaiseFence(NextFence(orders.fence));
    return;
  }
  // An older answer, or an answer to a report without the token in use.
  if (orders.fence < fence_) return;
  RaiseFence(orders.fence);
  fence_confirmed_for_ms_ = orders.worker_start_time_ms;
}

void AgentState::ForgetExpiredOrders(Time now) {
  std::erase_if(starts_, [&](const auto& row) {
    return now - row.second.ordered > kOrderRetention && !Contains(running_, row.first);
  });
  std::erase_if(stops_, [this](const RunId& run) {
    return starts_.count(run) == 0 && stopped_at_.count(run) == 0 && !Contains(running_, run);
  });
}

AgentOrders AgentState::HandleOrders(const AgentOrders& orders, Time sent, Time now) {
  AgentOrders new_orders;
  ForgetExpiredOrders(now);
  if (orders.epoch < epoch_) return new_orders;
  RaiseEpoch(orders.epoch);
  AdoptFence(orders);
  const bool is_newest = orders.version >= orders_seen_;
  orders_seen_ = std::max(orders_seen_, orders.version);
  if (orders.lease > Duration::zero()) {
    lease_until_ = std::max(lease_until_, sent + orders.lease);
  }
  const bool for_this_incarnation = orders.worker_start_time_ms == facts_.start_time_ms;
  if (for_this_incarnation && orders.acked_ends > acked_ends_) {
    acked_ends_ = orders.acked_ends;
    ended_.erase(ended_.begin(), ended_.upper_bound(acked_ends_));
  }
  if (!for_this_incarnation && !orders.starts.empty()) {
    LogEvent(LogLevel::kWarning, "starts_for_other_incarnation",
             {{"worker", facts_.id},
              {"starts", orders.starts.size()},
              {"ordered_for_ms", orders.worker_start_time_ms},
              {"born_ms", facts_.start_time_ms},
              {"epoch", orders.epoch}});
  }
  for (const StartOrder& start : orders.starts) {
    // The planner gives up what it ordered for a former incarnation and starts it elsewhere. What
    // it still wants is contained in the newest orders.
    if (!for_this_incarnation || !is_newest) break;
    if (!starts_.try_emplace(start.run, StartState{StartPhase::kSending, now}).second) continue;
    new_orders.starts.push_back(start);
    new_orders.starts.back().worker_start_time_ms = facts_.start_time_ms;
    new_orders.starts.back().epoch = orders.epoch;
  }
  for (const RunId& stop : orders.stops) {
    if (stops_.insert(stop).second) new_orders.stops.push_back(stop);
  }
  return new_orders;
}

AgentReport AgentState::Report(Duration wait, Time now) {
  AgentReport report;
  report.node = node_;
  report.zone = zone_;
  report.incarnation = incarnation_;
  report.sequence = ++report_sequence_;
  report.epoch = is_read() ? epoch_ : 0;
  report.fence = fence_;
  report.orders_seen = orders_seen_;
  report.worker = facts_;
  if (!member_) report.worker.id.clear();
  report.lease_left = std::max(Duration::zero(), LastLeaseExpiry(now) - now);
  report.running = running_;
  if (worker_clock_) report.lists_age = now - worker_clock_read_at_;
  for (const auto& [number, end] : ended_) {
    if (report.ended.size() >= kMaxEndsPerReport) break;
    report.ended.push_back(end);
  }
  report.more_ends = lists_leave_out_ends_ || report.ended.size() < ended_.size();
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
  if (!worker_clock_) return 0;
  return *worker_clock_ + Millis(Scaled(now - worker_clock_read_at_, kSlowestClockRate));
}

std::optional<WorkerMillis> AgentState::LeaseUntil(Time now) const {
  if (!worker_clock_ || lease_until_ <= now) return std::nullopt;
  // The worker's clock showed `worker_clock_` no later than `worker_clock_read_at_`, so the
  // returned time is no later than `lease_until_`, except for the drift of the worker's clock from
  // now on.
  return WorkerClock(now) + Millis(lease_until_ - now);
}

HoldCall AgentState::NextHold(Duration wait, Time now) const {
  HoldCall call;
  call.worker_id = facts_.id;
  call.worker_start_time_ms = facts_.start_time_ms;
  call.fence = fence_;
  const bool may_be_over = may_be_other_incarnation_ || (successor_announced_ && !facts_.reachable);
  if (fence_confirmed() && is_read() && !may_be_over) call.lease_until = LeaseUntil(now);
  const bool lists_acked_ends = first_listed_end_ && *first_listed_end_ <= acked_ends_;
  if (lists_acked_ends && fence_confirmed() && incarnation_verified()) {
    call.acked_ends = acked_ends_;
  }
  call.wait = incarnation_verified() ? wait : Duration::zero();
  return call;
}

Time AgentState::LeaseExpiry(WorkerMillis lease_until, Time now) const {
  const Duration left = std::chrono::milliseconds(lease_until - WorkerClock(now));
  return now + Scaled(left, kClockDriftFactor);
}

Time AgentState::LastLeaseExpiry(Time now) const {
  Time last = std::max({granted_lease_expiry_, start_lease_expiry_, former_lease_expiry_});
  if (start_unanswered_at_) last = std::max(last, unanswered_lease_expiry_);
  if (!leases_in_flight_.empty()) {
    last = std::max(last, LeaseExpiry(*leases_in_flight_.rbegin(), now));
  }
  // A start that waits for a thread will grant a lease.
  const bool sends_start = std::any_of(starts_.begin(), starts_.end(), [](const auto& row) {
    return row.second.phase == StartPhase::kSending;
  });
  if (sends_start || starts_in_flight_ > 0) last = std::max(last, now + longest_lease_);
  return last;
}

void AgentState::NoteStartAnswered(const StartCall& call, const StartAnswer& answer, Time now) {
  --starts_in_flight_;
  // It may have been sent again until now.
  start_sent_at_ = std::max(start_sent_at_, now);
  const auto start = starts_.find(call.run);
  if (start != starts_.end()) start->second.answered = now;
  const bool grants_lease = answer.answer == OrderAnswer::kAccepted ||
                            answer.answer == OrderAnswer::kStaleRun ||
                            answer.answer == OrderAnswer::kNoRoom;
  const bool unanswered = answer.answer == OrderAnswer::kUnanswered;
  if (!grants_lease && !unanswered) return;
  const bool same_incarnation = call.worker_start_time_ms == facts_.start_time_ms;
  Duration left = longest_lease_;
  if (unanswered && same_incarnation) {
    // The next lists show whether the worker is still the incarnation that the start was meant for.
    start_unanswered_at_ = now;
    unanswered_lease_expiry_ = now + longest_lease_;
    left = Scaled(kStartValidity, kClockDriftFactor);
  } else if (!unanswered && answer.clock) {
    const Duration stated = std::chrono::milliseconds(call.lease_until - *answer.clock);
    left = std::clamp(Scaled(stated, kClockDriftFactor), Duration::zero(), longest_lease_);
  }
  start_lease_expiry_ = std::max(start_lease_expiry_, now + left);
}

void AgentState::NoteLeaseSent(std::optional<WorkerMillis> lease_until) {
  if (!lease_until) return;
  leases_in_flight_.insert(*lease_until);
  lease_sent_without_id_ = lease_sent_without_id_ || facts_.id.empty();
}

void AgentState::NoteLeaseAnswered(std::optional<WorkerMillis> lease_until, OrderAnswer answer,
                                   Time now) {
  if (!lease_until) return;
  const auto sent = leases_in_flight_.find(*lease_until);
  const auto sent_to_former = former_leases_in_flight_.find(*lease_until);
  if (sent == leases_in_flight_.end() && sent_to_former != former_leases_in_flight_.end()) {
    former_leases_in_flight_.erase(sent_to_former);
    return;
  }
  if (sent != leases_in_flight_.end()) leases_in_flight_.erase(sent);
  if (answer == OrderAnswer::kNotListening) return;
  granted_lease_expiry_ = std::max(granted_lease_expiry_, LeaseExpiry(*lease_until, now));
}

std::optional<StartCall> AgentState::PrepareStart(const StartOrder& order, Time until,
                                                  std::string* reason, Time now) {
  const std::optional<WorkerMillis> lease = LeaseUntil(now);
  if (now >= until) {
    *reason = "the order is too old";
  } else if (order.epoch != 0 && order.epoch != epoch_) {
    // The worker would accept it under the newer planner's token, and that planner may have started
    // the task elsewhere.
    *reason = "a newer planner has taken over";
  } else if (order.worker_start_time_ms != 0 &&
             order.worker_start_time_ms != facts_.start_time_ms) {
    *reason = "the worker has restarted";
  } else if (facts_.id.empty()) {
    *reason = "the worker's ID is not known yet";
  } else if (facts_.draining) {
    *reason = "the worker leaves";
  } else if (stops_.count(order.run) > 0) {
    *reason = "stopped before it was sent";
  } else if (!facts_.reachable) {
    *reason = "the worker does not answer";
  } else if (!lease) {
    *reason = "no lease";
  } else if (!is_read() || !fence_confirmed()) {
    *reason = "the worker has not been read under this planner";
  } else {
    StartCall call;
    call.worker_id = facts_.id;
    call.worker_start_time_ms = facts_.start_time_ms;
    call.run = order.run;
    call.payload = order.payload;
    call.checkpoint = order.checkpoint;
    call.ticket = order.ticket;
    call.lease_until = std::min(*lease, WorkerClock(now) + Millis(kStartValidity));
    call.fence = fence_;
    start_sent_at_ = now;
    return call;
  }
  return std::nullopt;
}

void AgentState::SetResult(const RunId& run, StartOutcome outcome, const std::string& reason) {
  results_[run] = {run, outcome, reason};
}

void AgentState::StartNotSent(const RunId& run, const std::string& reason) {
  starts_[run].phase = StartPhase::kNotRunning;
  SetResult(run, StartOutcome::kRefused, reason);
}

void AgentState::HandleStartAnswer(const RunId& run, OrderAnswer answer) {
  const auto found = starts_.find(run);
  // A new incarnation of the worker has started in the meantime.
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
    // The planner repeats a stop until it knows the result. The time of the first answer counts:
    // holds take longer than the planner's polls, so no hold would be sent after the newest answer.
    stopped_at_.try_emplace(run, now);
    return;
  }
  // The planner's next answer requests the stop again.
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
