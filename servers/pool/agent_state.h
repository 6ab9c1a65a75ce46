// State of an agent: what it knows about its worker and its planner, and the decisions that follow,
// such as until when runs may continue and whether a start may be carried out. Has no threads and
// no clock of its own (the time is passed in); PoolAgent runs the threads.
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
  // `longest_lease`: longest lease that the worker grants, by its own clock.
  AgentState(const std::string& node, const std::string& zone, const std::string& incarnation,
             Duration longest_lease = std::chrono::seconds(6));

  // Handle a worker's periodic announcement, and its message that it leaves for good.
  void HandleAnnouncement(const WorkerAnnouncement& announcement);
  void HandleDeparture(const std::string& worker_id);
  // Called when a worker has left whose announcement was never verified. The agent counts as gone
  // once nothing answers at the worker's address and all leases have expired.
  void NoteUnknownWorkerLeft() { unknown_worker_left_ = true; }
  // Handles the lists in the answer to a hold call (see HoldCall) that was sent at `sent` with the
  // fencing token `fence`. After that answer the worker no longer executes orders with a lower
  // token. Returns whether the planner should be informed immediately.
  bool HandleLists(const WorkerLists& lists, int64_t fence, Time sent, Time now);
  // Called when the worker did not answer a call, or another incarnation of the worker answered.
  // Marks the worker as unreachable.
  void WorkerFailed(OrderAnswer answer);
  // The same for an answer to this hold. Ignored if another incarnation of the worker has been seen
  // since the hold was sent.
  void HoldFailed(const HoldCall& call, OrderAnswer answer);

  // Handles the orders in the answer to a report that was sent at `sent`, and returns those that
  // are new. Orders of an epoch below the highest one seen are dropped.
  AgentOrders HandleOrders(const AgentOrders& orders, Time sent, Time now);
  // Notes that a planner of this epoch exists. Orders of older planners are ignored from now on.
  void RaiseEpoch(int64_t epoch);
  int64_t epoch() const { return epoch_; }
  // Fencing token for calls to the worker; 0 while no planner is known.
  int64_t fence() const { return fence_; }
  // Whether the worker's lists have been read under the token in use.
  bool is_read() const { return fence_ > 0 && lists_fence_ >= fence_; }

  // Returns the report to the planner, as of `now`.
  AgentReport Report(Duration wait, Time now);
  // Called when the planner has processed the report. Drops the start results that it contained.
  void ReportDelivered(const AgentReport& report);

  // Returns the next hold, which acknowledges ends that the worker still lists (a delayed hold
  // would acknowledge those of the next incarnation) and renews the lease, but only once the
  // planner has confirmed the token for this incarnation: until then another process of the agent
  // might use the same token for the next incarnation, which would accept a delayed hold. If ends
  // can't be acknowledged yet because of a recent start, the hold does not wait.
  HoldCall NextHold(Duration wait, Time now) const;
  // Sets whether another incarnation of the worker has been announced that is not verified yet. If
  // the worker does not answer either, its leases are no longer renewed.
  void SetSuccessorAnnounced(bool announced) { successor_announced_ = announced; }
  // Called before a hold that grants a lease until `lease_until`. The worker may have the lease
  // from then on, long before its answer arrives.
  void NoteLeaseSent(std::optional<WorkerMillis> lease_until);
  // Called when a hold that grants a lease until `lease_until` has returned `answer`. A worker that
  // refused the connection has not received the lease.
  void NoteLeaseAnswered(std::optional<WorkerMillis> lease_until, OrderAnswer answer, Time now);

  // Returns the call for an ordered start, including its lease, if it may be carried out now;
  // otherwise sets `reason`. `until`: when the order expires.
  std::optional<StartCall> PrepareStart(const StartOrder& order, Time until, std::string* reason,
                                        Time now);
  // Called when the agent's process begins: a call that its former process sent may have granted,
  // or may still grant, the longest lease.
  void NoteFormerProcess(Time now);
  // Called before a start is sent, and when it has been answered. The start may reach an
  // incarnation that the agent does not know yet. On the clock of that incarnation, which began
  // anew, the lease ends much later, up to the longest lease.
  void NoteStartSent() { ++starts_in_flight_; }
  void NoteStartAnswered(const StartCall& call, const StartAnswer& answer, Time now);
  void HandleStartAnswer(const RunId& run, OrderAnswer answer);
  // Records that a start was not sent to the worker, and why.
  void StartNotSent(const RunId& run, const std::string& reason);
  // Handles the worker's answer to a stop. If the worker accepted the stop, the run is over, or its
  // end will appear in the worker's lists.
  void HandleStopAnswer(const RunId& run, OrderAnswer answer, Time now);
  // Runs whose start was not answered and which have not appeared in the worker's lists. The agent
  // has to stop these runs, since they may still begin.
  std::vector<RunId> UncertainRuns() const;

  const WorkerFacts& worker() const { return facts_; }
  // Whether the worker may have runs, so that a new planner has to wait for this agent's report.
  bool may_host_runs(Time now) const;
  // Whether the worker has left for good and nothing can run on it.
  bool is_gone(Time now) const;
  // Sets whether the agent is registered in the members topic. Until then its reports name no
  // worker, so that the planner starts nothing on its worker.
  void SetMember(bool member) { member_ = member; }

 private:
  // Phase of a run that this agent was ordered to start.
  enum class StartPhase { kSending, kUncertain, kStarted, kNotRunning };
  struct StartState {
    StartPhase phase = StartPhase::kSending;
    Time ordered{};
    // When the newest attempt was answered or given up.
    Time answered{};
  };

  void ResetForIncarnation(int64_t start_time_ms);
  // Whether the newest start has reached the incarnation that this agent knows, so that the
  // worker's ends have the numbers that it knows. A start that was sent after the newest lists were
  // requested may have reached a new incarnation, which counts its ends anew. A start in flight may
  // be sent several times.
  bool incarnation_verified() const {
    if (starts_in_flight_ > 0) return false;
    return start_sent_at_ == Time{} || lists_requested_at_ > start_sent_at_;
  }
  // Whether lists that were requested at `sent` were read after the last attempt to start `run`.
  // Until then the next incarnation, which knows nothing of a stop, may execute an attempt.
  bool FollowsAllAttempts(const RunId& run, Time sent) const;
  // Uses the token that the planner assigned to this incarnation of the worker.
  void AdoptFence(const AgentOrders& orders);
  // Sets a higher token for this incarnation of the worker, which then has to be read under it.
  void RaiseFence(int64_t fence);
  // Called when the lists have been read under the token in use, so that the worker refuses calls
  // for its former incarnation from now on. Such a call may have granted the longest lease before.
  void NoteFormerCallsRefused(Time now);
  bool fence_confirmed() const {
    return facts_.start_time_ms != 0 && fence_confirmed_for_ms_ == facts_.start_time_ms;
  }
  // Forgets orders that no answer in flight can repeat any more.
  void ForgetExpiredOrders(Time now);
  void SetResult(const RunId& run, StartOutcome outcome, const std::string& reason);
  // Whether the announcement counts as the worker's. A worker does not change its service, so one
  // of two announcements that name different services comes from another writer. Only the worker
  // repeats its announcements, so a different service counts when two in a row name it.
  bool ConfirmsService(const WorkerAnnouncement& announcement);
  // Time by which a lease until `lease_until` has expired, allowing for clock drift.
  Time LeaseExpiry(WorkerMillis lease_until, Time now) const;
  // Time by which all leases have expired that this agent has granted.
  Time LastLeaseExpiry(Time now) const;
  // Lower bound of the worker's clock at `now`, also if its newest answer is old. What is computed
  // from it grants no lease for too long and states no end of a lease too early.
  WorkerMillis WorkerClock(Time now) const;
  std::optional<WorkerMillis> LeaseUntil(Time now) const;

  const std::string node_;
  const std::string zone_;
  const std::string incarnation_;
  // Longest lease that the worker grants, allowing for clock drift.
  const Duration longest_lease_;
  WorkerFacts facts_;
  int64_t announced_sequence_ = -1;
  // Service that the newest announcement named if it differs from `facts_.service`.
  std::string other_service_;
  // Whether the worker has announced that it has left.
  bool departed_ = false;
  // Whether the worker itself has announced that it will leave.
  bool announced_draining_ = false;
  bool member_ = false;
  bool successor_announced_ = false;
  bool unknown_worker_left_ = false;

  int64_t epoch_ = 0;
  int64_t fence_ = 0;
  // Start time of the incarnation for which the planner has confirmed `fence_`; 0 if there is none.
  int64_t fence_confirmed_for_ms_ = 0;
  // Whether the planner assigns tokens to incarnations.
  bool planner_assigns_fences_ = false;
  // Highest token under which the lists of this incarnation have been read.
  int64_t lists_fence_ = 0;
  int64_t orders_seen_ = 0;
  int64_t report_sequence_ = 0;
  // Expiry of the lease granted by the planner, by this agent's clock.
  Time lease_until_{};
  // Time by which every lease granted by this agent's holds has expired.
  Time granted_lease_expiry_{};
  // The same for the starts that the worker has answered, in whichever incarnation, and for those
  // of the agent's former process.
  Time start_lease_expiry_{};
  // The same for calls for the worker's former incarnation that this one has executed.
  Time former_lease_expiry_{};
  // Whether this incarnation refuses calls for the former one, or there was none.
  bool former_calls_refused_ = true;
  // Whether a hold was not answered, and no lists requested since the newest start have been read.
  // If another incarnation runs that start, each hold would renew the longest lease.
  bool may_be_other_incarnation_ = false;
  // Whether a hold that renewed a lease named no ID, so that any incarnation executes it.
  bool lease_sent_without_id_ = false;
  // ID of the former incarnation; empty if unknown.
  std::string former_id_;
  // Starts that are being sent.
  int starts_in_flight_ = 0;
  // When the newest start was given up without an answer, and until when the runs of an unknown
  // incarnation that executed it may go on. Unset once the lists show that there is no such
  // incarnation.
  std::optional<Time> start_unanswered_at_;
  Time unanswered_lease_expiry_{};
  // Expiry times of the leases granted by holds that have not been answered yet.
  std::multiset<WorkerMillis> leases_in_flight_;
  // The same for calls to former incarnations of the worker. These leases refer to another clock.
  std::multiset<WorkerMillis> former_leases_in_flight_;
  // The worker's clock in its newest answer, and when that answer arrived.
  std::optional<WorkerMillis> worker_clock_;
  Time worker_clock_read_at_{};

  std::vector<RunningTask> running_;
  std::map<int64_t, EndedTask> ended_;
  // Whether the newest lists leave out ends of the worker.
  bool lists_leave_out_ends_ = false;
  int64_t acked_ends_ = 0;
  // Lowest number of an end in the newest lists; unset if they contain none.
  std::optional<int64_t> first_listed_end_;
  // When the newest lists were requested, and when the newest start was sent or answered.
  Time lists_requested_at_{};
  Time start_sent_at_{};

  std::map<RunId, StartState> starts_;
  std::set<RunId> stops_;
  // When each stop was answered. The answer to a hold sent after that time shows whether the run
  // existed.
  std::map<RunId, Time> stopped_at_;
  std::map<RunId, StartResult> results_;
};

}  // namespace turmericshift::pool
