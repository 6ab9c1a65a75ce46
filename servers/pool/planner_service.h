// Runs a PoolPlanner while this process is the active planner: writes its records to the store,
// answers agents and entries, and runs the planning rounds. One thread plans, another one writes.
#pragma once

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "core/thread.h"
#include "servers/platform/keyed_log.h"
#include "servers/pool/job_intake.h"
#include "servers/pool/planner_gate.h"
#include "servers/pool/pool_planner.h"
#include "servers/pool/pool_view.h"

namespace turmericshift::pool {

// Upper limit for an orderly release of the leadership.
inline constexpr Duration kReleaseLimit = std::chrono::milliseconds(900);

struct PlannerServiceOptions {
  PlannerOptions planner;
  // Heartbeat interval: a heartbeat record is written after this long without another record. Other
  // entries wait several times this long before they take over.
  Duration beat = std::chrono::milliseconds(250);
  // Time-out of an append; afterwards the append is sent again with the same sequence number.
  Duration append_timeout = std::chrono::milliseconds(600);
  // When the newest append has been unanswered for this long, new work is rejected immediately: it
  // can't be made durable, and callers do better to retry than to wait. Slow stores answer within
  // 0.25 s.
  Duration append_stall_timeout = std::chrono::milliseconds(700);
};

// Removal of agents from the members topic. Holds only if the topic ends at `expected_end`, so that
// a removal which the store carries out late can't remove an agent that has registered again.
struct AgentRemoval {
  std::set<std::string> nodes;
  Offset expected_end = kNoOffset;
};

class PlannerService : public PlannerGate {
 public:
  PlannerService(const PlannerServiceOptions& options, KeyedLog* log, const OperatorView* operators,
                 const MembersView* members, MetricsRegistry* metrics);
  ~PlannerService() override;
  PlannerService(const PlannerService&) = delete;
  PlannerService& operator=(const PlannerService&) = delete;

  // Becomes the active planner, unless a newer planner has been in touch. The claim was written
  // under `sequence`; `table` contains everything before the claim. `requested_at` is when the
  // claim was sent. `former`: the former planners that the claim names. `follows_former_process`:
  // whether a former process of this entry may have starts under way.
  void BecomeActive(int64_t epoch, int64_t sequence, const JobTable& table,
                    const std::set<std::string>& agents, Time requested_at,
                    const std::vector<PlannerRecord>& former = {},
                    bool follows_former_process = false);
  // Until then, starts of a former process of this entry may be under way; unset if there can be
  // none.
  Time former_process_settled_at() const;
  // Called when all former planners are known to have stepped down.
  void PredecessorGone();
  // Rewrites the record of this planner, `self`, without former planners, since they no longer
  // grant leases.
  void ForgetFormerPlanners(const PlannerRecord& self);
  // Steps down, for example because a newer epoch has been seen.
  void StepDown(const char* reason);
  // Writes the remaining records and releases the leadership in the store, so that a successor need
  // not wait for the silence time-out. Waits up to `limit`.
  void Release(Duration limit);
  // Returns the next request for the advice service; waits up to `limit` for one to be added, and
  // returns empty if none is.
  std::optional<AdviceRequest> NextAdviceRequest(Duration limit);
  void HandleAdvice(const AdviceRequest& request, const AdviceResponse& response,
                    Time requested_at);
  void AdviceFailed(bool unanswered, Time now);
  // Sets the newest planner read from the store, and whether this entry would claim the leadership
  // if it were vacant, and on request by a planner that the store rejects.
  void SetLeadershipView(const PlannerRecord& planner, bool would_claim, bool would_take_over);
  // Since when the store has rejected each append of this planner; empty if it has not, or if this
  // process is not active. A rejected append was not carried out.
  std::optional<Time> rejected_since() const;
  // Epoch of the planner that has asked this process within the last second to take over from it;
  // 0: none.
  int64_t takeover_epoch(Time now) const;
  // Epoch of this process while it is the active planner; 0 otherwise.
  int64_t epoch() const;
  // Returns the removal of all listed agents from which no report has been received for `limit`, or
  // the newest one if its outcome is not known yet. Nothing is started on their workers from now
  // on, until the members topic lists them after that removal.
  std::optional<AgentRemoval> RemoveSilentAgents(Duration limit, Time now);

  void Exchange(const AgentReport& report, std::function<void(Result<AgentOrders>)> done) override;
  void Submit(const JobSpec& spec, std::function<void(Result<Done>)> done) override;
  void Cancel(const std::string& id, std::function<void(Result<Done>)> done) override;
  void Yield(const PlannerRecord& successor, std::function<void(Result<Done>)> done) override;
  void Offer(std::function<void(Result<Done>)> done) override;
  void TakeOver(const PlannerRecord& planner, std::function<void(Result<Done>)> done) override;
  PlannerRecord KnownPlanner() const override;
  PlannerRecord Successor() const override;

 private:
  struct Poll {
    std::function<void(Result<AgentOrders>)> done;
    Time until{};
  };

  // Tells the threads to end. They are joined when they are destroyed.
  void StopThreads();
  void RunPlanningLoop();
  static void PauseAfter(Duration round);
  void RunWriteLoop();
  // Sends one append and handles the result. Returns false if the append has to be sent again, true
  // if it is settled, also when the leadership was lost.
  bool AppendOnce(const std::vector<KeyedRecord>& records, int64_t epoch, int64_t sequence);
  // Accepts a caller's call with `take(done, now, replies)` if this process is the active planner,
  // and rejects it otherwise.
  template <typename Take>
  void AcceptCall(JobIntake::OnDone done, Take&& take);
  // Applies the report and answers it, or holds the answer back. Returns whether planning is
  // needed.
  bool HandleReport(const AgentReport& report, std::function<void(Result<AgentOrders>)> done,
                    Time now, Replies* replies);
  void AnswerPolls(Time now, Replies* replies);
  // Adds what the planner counted of learned state to the metrics.
  void CountLearnedLocked();
  // Tells the planner which agents are listed in the members topic.
  void UpdateListedAgentsLocked();
  // Passes the planner's refusals for load on to the metrics.
  void RecordAdmissionLocked();
  void StepDownLocked(const char* reason, Replies* replies);
  void SetSpeedGauges(const speeds::SpeedSummary& summary);
  // Error for callers while this process is not the active planner.
  static Error NotActiveError();

  const PlannerServiceOptions options_;
  KeyedLog* const log_;
  const OperatorView* const operators_;
  const MembersView* const members_;
  Counter& appends_;
  Counter& append_failures_;
  Distribution& append_seconds_;
  Distribution& round_seconds_;
  Gauge& lag_seconds_;
  Gauge& jobs_;
  Gauge& epoch_gauge_;
  Counter& learned_records_;
  Counter& learned_bytes_;
  Counter& learned_dropped_;
  Gauge& workers_slow_;
  Gauge& workers_fast_;
  Gauge& worker_speed_spread_;
  Gauge& outdated_workers_;
  Gauge& overuse_max_;
  Gauge& over_share_;
  Counter& rejected_pool_;
  Counter& rejected_workspace_;
  Gauge& backlog_seconds_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::condition_variable write_ready_;
  std::condition_variable advice_ready_;
  std::unique_ptr<PoolPlanner> planner_;
  // The newest removal of agents by this planner.
  AgentRemoval removal_;
  // The membership that the planner was told of last; null if the planner has to be told again.
  std::shared_ptr<const Membership> membership_;
  // Former planners named in this planner's record.
  std::vector<PlannerRecord> former_planners_;
  // PoolPlanner::HandoverAllowedAt() of this process's former duty.
  Time handover_allowed_at_{};
  // The same for a former process of this entry, which has told this one nothing; unset once a
  // claim has shown that none may have planned.
  Time former_process_settled_at_;
  // The newest planner that has notified this process that it took over.
  PlannerRecord successor_;
  std::map<std::string, Poll> polls_;
  JobIntake intake_{options_.append_stall_timeout};
  PlannerRecord stored_planner_;
  bool would_claim_ = false;
  bool would_take_over_ = false;
  int64_t takeover_epoch_ = 0;
  Time takeover_requested_at_{};
  std::optional<Time> rejected_since_;
  bool replan_needed_ = false;
  bool releasing_ = false;
  bool stopping_ = false;
  int64_t sequence_ = 0;
  // When the pending append was first sent; empty if there is none.
  std::optional<Time> append_started_at_;
  Time last_write_{};
  // Sequence of the append whose failure was logged last. Used only by the writer thread.
  int64_t logged_failed_sequence_ = 0;
  // Declared last, so that the threads end before the members they use are destroyed.
  Thread planning_thread_;
  Thread writer_thread_;
};

}  // namespace turmericshift::pool
