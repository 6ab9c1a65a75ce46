// Accepts submissions and cancellations for the planner, and answers each caller once the outcome
// of its own call is known. JobIntake has neither threads nor access to the store, which
// PlannerService owns; the time is passed in.
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
  using OnDone = std::function<void(Result<Done>)>;

  // `stall_timeout`: the store is considered unresponsive once an append has been unanswered for
  // this long.
  explicit JobIntake(Duration stall_timeout) : stall_timeout_(stall_timeout) {}

  // `append_sent`: when the append in flight was first sent; empty if none is in flight.
  void Submit(const JobSpec& spec, std::optional<Time> append_sent, PoolPlanner* planner,
              OnDone done, Time now, Replies* replies);
  void Cancel(const std::string& id, int64_t wall_ms, PoolPlanner* planner, OnDone done, Time now,
              Replies* replies);
  // Answers the callers whose records are durable. While the store is unresponsive, withdraws the
  // jobs whose callers have waited longer than the stall timeout and whose records have not been
  // sent.
  void Answer(std::optional<Time> append_sent, PoolPlanner* planner, Time now, Replies* replies);
  // This process stops being the active planner: all waiting callers get outcome kUnknown, since
  // their records may become durable or not.
  void End(Replies* replies);

 private:
  struct Waiter {
    // Id of the job that the caller submitted; empty for a cancellation.
    std::string submitted;
    Ticket ticket = 0;
    Time since{};
    OnDone done;
    // Set if the job is refused. The answer waits for a record that proves that no successor had
    // taken over, which might have accepted an earlier attempt.
    std::optional<Error> rejection = std::nullopt;
  };

  bool StoreStalled(std::optional<Time> append_sent, Time now) const;
  // Ids of the jobs with a submission that has waited longer than the stall timeout, without
  // duplicates.
  std::vector<std::string> TimedOutSubmissions(Time now) const;
  // Withdraws the job and answers all its callers: callers that joined the same record would
  // otherwise wait forever.
  void Withdraw(const std::string& id, PoolPlanner* planner, Time now, Replies* replies);

  const Duration stall_timeout_;
  std::vector<Waiter> waiters_;
};

}  // namespace turmericshift::pool
