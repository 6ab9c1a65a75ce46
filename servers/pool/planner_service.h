// Runs a PoolPlanner while this process holds the duty: keeps its records, answers agents and
// entries, and lets it decide. One thread decides, one writes.
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

// Giving the duty up in order takes this at most.
inline constexpr Duration kReleaseLimit = std::chrono::milliseconds(900);

struct PlannerServiceOptions {
  PlannerOptions planner;
  // A sign of life is written when nothing else has been for so long. Followers wait several times
  // this before they take the duty over.
  Duration beat = std::chrono::milliseconds(250);
  // One append's answer is waited for so long, then it is sent again under the same number.
  Duration append_timeout = std::chrono::milliseconds(600);
  // When the newest append has gone unanswered for this long, new work is turned away at once: it
  // can't be kept, and callers do better to come back than to wait. Slow stores answer in a
  // quarter of a second.
  Duration stuck_after = std::chrono::milliseconds(700);
};

class PlannerService : public PlannerGate {
 public:
  PlannerService(const PlannerServiceOptions& options, KeyedLog* log, const OperatorView* operators,
                 MetricsRegistry* metrics);
  ~PlannerService() override;
  PlannerService(const PlannerService&) = delete;
  PlannerService& operator=(const PlannerService&) = delete;

  // Takes the duty up. The claim was written under `sequence`; `book` is all that came before it.
  void Begin(int64_t epoch, int64_t sequence, const JobTable& book,
             const std::set<std::string>& agents, Time asked);
  // The planner before is known to plan no more.
  void PredecessorGone();
  // Lays the duty down: a newer epoch has been seen.
  void End(const char* why);
  // Writes what is left and gives the duty up in the store, so that a successor need not wait for
  // the silence; at most `limit`.
  void Release(Duration limit);
  // Waits up to `limit` for something that the advice service should be asked.
  std::optional<AdviceRequest> NextQuestion(Duration limit);
  void HandleAdvice(const AdviceRequest& question, const AdviceResponse& answer, Time asked);
  void AdviceFailed(Time now);
  // What this entry has read of the duty, and whether it would claim it if it were free.
  void NoteDuty(const PlannerRecord& planner, bool would_claim);
  // The epoch while the duty is held; 0 otherwise.
  int64_t epoch() const;
  // Agents that have not been heard for `limit`, of those given.
  std::vector<std::string> SilentAgents(const std::set<std::string>& agents, Duration limit,
                                        Time now) const;

  void Exchange(const AgentReport& report, std::function<void(Attempt<AgentOrders>)> done) override;
  void Submit(const JobSpec& spec, std::function<void(Attempt<Done>)> done) override;
  void Cancel(const std::string& id, std::function<void(Attempt<Done>)> done) override;
  void Yield(const PlannerRecord& successor, std::function<void(Attempt<Done>)> done) override;
  void Offer(std::function<void(Attempt<Done>)> done) override;
  PlannerRecord KnownPlanner() const override;
  PlannerRecord Successor() const override;

 private:
  struct Poll {
    std::function<void(Attempt<AgentOrders>)> done;
    Time until{};
  };

  void Decide();
  static void PauseAfter(Duration round);
  void Write();
  // One append and what follows from its answer; false when the duty is lost.
  bool WriteOnce(const std::vector<KeyedRecord>& records, int64_t epoch, int64_t sequence);
  // Has `take(done, now, replies)` take a caller's call in if this process plans.
  template <typename Take>
  void TakeIn(JobIntake::OnDone done, Take&& take);
  void AnswerPolls(Time now, Replies* replies);
  void EndLocked(const char* why, Replies* replies);
  // The error for a caller when this process does not plan.
  static Error NotPlanning();

  const PlannerServiceOptions options_;
  KeyedLog* const log_;
  const OperatorView* const operators_;
  Counter& appends_;
  Counter& append_failures_;
  Distribution& append_seconds_;
  Distribution& round_seconds_;
  Gauge& late_seconds_;
  Gauge& jobs_;
  Gauge& epoch_gauge_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::condition_variable to_write_;
  std::condition_variable to_ask_;
  std::unique_ptr<PoolPlanner> planner_;
  // The newest planner that has told this process of itself.
  PlannerRecord successor_;
  std::map<std::string, Poll> polls_;
  JobIntake intake_{options_.stuck_after};
  PlannerRecord read_planner_;
  bool would_claim_ = false;
  bool dirty_ = false;
  bool releasing_ = false;
  bool stopping_ = false;
  int64_t sequence_ = 0;
  // When the append that is on its way was first sent.
  std::optional<Time> writing_since_;
  Time last_write_{};
  // The append whose failure has been logged; only the writing thread uses it.
  int64_t failed_sequence_ = 0;
  // Last, so that they end before what they use.
  Thread decider_;
  Thread writer_;
};

}  // namespace turmericshift::pool
