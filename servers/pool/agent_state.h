// What an agent knows of its worker and of its planner, and what follows: until when runs may go
// on, whether a start may be carried out. Plain decisions with the time passed in; PoolAgent has
// the threads.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "servers/pool/pool_worker.h"

namespace turmericshift::pool {

class AgentState {
 public:
  AgentState(const std::string& node, const std::string& zone, const std::string& incarnation);

  // The worker.
  void HandleAnnouncement(const WorkerAnnouncement& announcement);
  void TakeLeft(const std::string& worker_id);
  // The answer to a hold under `fence` that was sent at `sent`; nothing older can be carried out
  // after it. Returns whether there is anything that the planner should hear at once.
  bool HandleLists(const WorkerLists& lists, int64_t fence, Time sent, Time now);
  // The worker did not answer, or not as the one that is meant.
  void WorkerFailed(OrderAnswer answer);

  // The planner. Orders of a lower epoch than the highest one seen are dropped.
  // `sent`: when the report was sent that these orders answer. Returns what is new to do.
  AgentOrders HandleOrders(const AgentOrders& orders, Time sent, Time now);
  // A planner of this epoch has been heard of; older ones are obeyed no more.
  void RaiseEpoch(int64_t epoch);
  int64_t epoch() const { return epoch_; }

  // Everything that the planner should know, as of now.
  AgentReport Report(Duration wait, Time now);
  // The planner has taken the report in.
  void ReportDelivered(const AgentReport& report);

  // The next hold: what is acknowledged, and until when runs may go on.
  HoldCall NextHold(Duration wait, Time now) const;
  // A call that passes a lease until `lease_until` on is about to be sent: what runs may have it
  // from now on, long before an answer comes.
  void NoteLeaseSent(std::optional<WorkerMillis> lease_until);
  // A call that was to pass a lease until `lease_until` on has been answered so. A worker that
  // refused the connection has not got it.
  void NoteLeaseAnswered(std::optional<WorkerMillis> lease_until, OrderAnswer answer, Time now);

  // Whether a start that was ordered may be carried out now, and with which lease; otherwise why
  // not. `until`: when the order goes out of date.
  std::optional<StartCall> PrepareStart(const StartOrder& order, Time until, std::string* why,
                                        Time now) const;
  void HandleStartAnswer(const RunId& run, OrderAnswer answer);
  // A start was not even sent.
  void StartNotSent(const RunId& run, const std::string& why);
  // The worker answered a stop: the run is over, or will show among the ends.
  void HandleStopAnswer(const RunId& run, OrderAnswer answer, Time now);
  // Runs whose start went unanswered and which have not turned up: to be stopped.
  std::vector<RunId> UncertainRuns() const;

  const WorkerFacts& worker() const { return facts_; }
  // Something may come to run at the worker, so that a new planner has to hear of it first.
  bool may_run() const { return !running_.empty() || (!facts_.id.empty() && !left_); }
  // The worker has gone for good and left nothing behind.
  bool is_over() const { return left_ && running_.empty(); }
  // Whether the agent stands among the members. Until then the planner hears of no worker here that
  // it could use.
  void SetMember(bool member) { member_ = member; }

 private:
  // Where a run that this agent was ordered to start stands.
  enum class StartPhase { kSending, kUncertain, kStarted, kNotRunning };
  struct StartState {
    StartPhase phase = StartPhase::kSending;
    Time ordered{};
  };

  void NewLife(int64_t start_time_ms);
  // Forgets orders that no answer on its way can repeat any more.
  void ForgetOldOrders(Time now);
  void SetResult(const RunId& run, StartOutcome outcome, const std::string& reason);
  // When a lease until `lease_until` has surely run out.
  Time LeaseOver(WorkerMillis lease_until, Time now) const;
  // The worker's clock at `now` is at least this.
  WorkerMillis WorkerClock(Time now) const;
  std::optional<WorkerMillis> LeaseUntil(Time now) const;

  const std::string node_;
  const std::string zone_;
  const std::string incarnation_;
  WorkerFacts facts_;
  int64_t announced_sequence_ = -1;
  // The worker has taken its leave.
  bool left_ = false;
  bool member_ = false;

  int64_t epoch_ = 0;
  int64_t lists_epoch_ = 0;
  int64_t orders_seen_ = 0;
  int64_t report_sequence_ = 0;
  // Runs may go on until then, by this agent's clock.
  Time lease_until_{};
  // Whatever got a lease from this agent has run out by then.
  Time passed_on_until_{};
  // Leases of calls that are under way.
  std::multiset<WorkerMillis> leases_sent_;
  // The worker's clock as of the newest answer, and when that came.
  std::optional<WorkerMillis> clock_;
  Time clock_at_{};

  std::vector<RunningTask> running_;
  std::map<int64_t, EndedTask> ended_;
  int64_t ends_kept_ = 0;

  std::map<RunId, StartState> starts_;
  std::set<RunId> stops_;
  // Stops that were answered, with the time: a hold sent after that shows whether the run was
  // there.
  std::map<RunId, Time> stopped_at_;
  std::map<RunId, StartResult> results_;
};

}  // namespace turmericshift::pool
