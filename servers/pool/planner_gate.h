// What agents and entries ask of the entry that plans their pool. PlannerService answers it in this
// process; rpc/pool_session.h carries it to another.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/attempt.h"
#include "servers/pool/job_records.h"
#include "servers/pool/pool_messages.h"

namespace turmericshift::pool {

// Nothing to hand back but whether it went well.
struct Done {};

class PlannerGate {
 public:
  virtual ~PlannerGate() = default;

  // Calls `done` once, from any thread, at the latest when the report's wait is over.
  virtual void Exchange(const AgentReport& report,
                        std::function<void(Attempt<AgentOrders>)> done) = 0;
  // Calls `done` when the job is in the store. Errors: kLogUnavailable or kOverloaded with outcome
  // not_run when it never will be; with outcome unknown when it may be or become so; kConflict with
  // outcome not_run when this process does not plan the pool.
  virtual void Submit(const JobSpec& spec, std::function<void(Attempt<Done>)> done) = 0;
  // Calls `done` when the cancellation is in the store or the job was over. Errors: kNotFound, and
  // those of Submit.
  virtual void Cancel(const std::string& id, std::function<void(Attempt<Done>)> done) = 0;
  // Another process has taken the duty over. Calls `done` once this one plans no more, whether it
  // did or not.
  virtual void Yield(const PlannerRecord& successor, std::function<void(Attempt<Done>)> done) = 0;
  // The planner is too weak for the pool and asks whether this process would take the duty over
  // once it is free. Calls `done` with kConflict if it would not.
  virtual void Offer(std::function<void(Attempt<Done>)> done) = 0;
  // The newest planner that this process knows of; epoch 0 while it knows none.
  virtual PlannerRecord KnownPlanner() const { return {}; }
  // The newest planner that has told this process of itself; epoch 0 while none has.
  virtual PlannerRecord Successor() const { return {}; }
};

// The same for a caller that waits. Throws Error: those above; kConnectionLost, kDeadlineExceeded.
class PlannerClient {
 public:
  virtual ~PlannerClient() = default;
  // Calls pass through another entry.
  virtual bool relayed() const { return false; }
  virtual AgentOrders Exchange(const AgentReport& report, Duration timeout) = 0;
  virtual void Submit(const JobSpec& spec, Duration timeout) = 0;
  virtual void Cancel(const std::string& id, Duration timeout) = 0;
  virtual void Yield(const PlannerRecord& successor, Duration timeout) = 0;
  virtual void Offer(Duration timeout) = 0;
};

// Connects to planners by address within `limit`. Throws Error(kUnavailable).
class PlannerConnector {
 public:
  virtual ~PlannerConnector() = default;
  virtual std::shared_ptr<PlannerClient> Connect(const std::string& address, Duration limit) = 0;
  // By way of the entry at `relay`, to the planner of `epoch` or a newer one.
  virtual std::shared_ptr<PlannerClient> ConnectThrough(const std::string& relay, int64_t /*epoch*/,
                                                        Duration /*limit*/) {
    throw Error(ErrorKind::kUnavailable, Outcome::kNotRun, "no way through " + relay);
  }
};

}  // namespace turmericshift::pool
