// Takes jobs and cancellations in for a planner, and tells each caller what became of its own call.
// Plain decisions with the time passed in; PlannerService has the threads and the store.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "servers/pool/planner_gate.h"
#include "servers/pool/pool_planner.h"
#include "servers/pool/replies.h"

namespace turmericshift::pool {

class JobIntake {
 public:
  using OnDone = std::function<void(Attempt<Done>)>;

  // `stall_timeout`: an append unanswered for this long means that the store does not answer.
  explicit JobIntake(Duration stall_timeout) : stall_timeout_(stall_timeout) {}

  // `append_sent`: when the append that is on its way was first sent, if one is.
  void Submit(const JobSpec& spec, std::optional<Time> append_sent, PoolPlanner* planner,
              OnDone done, Time now, Replies* replies);
  void Cancel(const std::string& id, int64_t wall_ms, PoolPlanner* planner, OnDone done, Time now,
              Replies* replies);
  // Answers the callers whose records are kept. While the store does not answer, withdraws the jobs
  // whose callers have waited too long and whose records have not left.
  void Answer(std::optional<Time> append_sent, PoolPlanner* planner, Time now, Replies* replies);
  // The planner plans no more: what its callers wait for may be kept or not.
  void End(Replies* replies);

 private:
  struct Waiter {
    // The job whose submission waits; empty for a cancellation.
    std::string submitted;
    Ticket ticket = 0;
    Time since{};
    OnDone done;
  };

  bool StoreStalled(std::optional<Time> append_sent, Time now) const;
  // Jobs with a submission that has waited for too long, each once.
  std::vector<std::string> TimedOutSubmissions(Time now) const;
  // Withdraws the job for all of its callers: whoever joined its record has nothing else to wait
  // for.
  void Withdraw(const std::string& id, PoolPlanner* planner, Time now, Replies* replies);

  const Duration stall_timeout_;
  std::vector<Waiter> waiters_;
};

}  // namespace turmericshift::pool
