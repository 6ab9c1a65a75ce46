// Interface of the active planner to agents and entries. PlannerService implements it in this
// process; rpc/pool_session.h makes it available to other processes.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "core/result.h"
#include "servers/pool/job_records.h"
#include "servers/pool/pool_messages.h"

namespace turmericshift::pool {

// Result of a call that returns nothing but success or an error.
struct Done {};

class PlannerGate {
 public:
  virtual ~PlannerGate() = default;

  // Calls `done` once, from any thread, no later than the end of the report's wait.
  virtual void Exchange(const AgentReport& report,
                        std::function<void(Result<AgentOrders>)> done) = 0;
  // Calls `done` when the job is durable. Errors: kLogUnavailable or kOverloaded, with outcome
  // not_run if the job will never run and with outcome unknown if it may be or become durable;
  // kConflict with outcome not_run if this process is not the active planner.
  virtual void Submit(const JobSpec& spec, std::function<void(Result<Done>)> done) = 0;
  // Calls `done` when the cancellation is durable or the job was over. Errors: kNotFound and those
  // of Submit.
  virtual void Cancel(const std::string& id, std::function<void(Result<Done>)> done) = 0;
  // Tells this process that another process has become the active planner. Calls `done` once this
  // process is not active, whether or not it was active before.
  virtual void Yield(const PlannerRecord& successor, std::function<void(Result<Done>)> done) = 0;
  // Sent by a planner whose VM is too weak for the pool: asks whether this process would take over
  // once the leadership is vacant. Calls `done` with kConflict if this process would not.
  virtual void Offer(std::function<void(Result<Done>)> done) = 0;
  // Sent by `planner` while the store rejects its appends: asks this process to claim the
  // leadership without waiting for the silence time-out. Calls `done` with kConflict if this
  // process would not.
  virtual void TakeOver(const PlannerRecord& planner, std::function<void(Result<Done>)> done) = 0;
  // The newest planner that this process knows of; epoch 0 if no planner is known.
  virtual PlannerRecord KnownPlanner() const { return {}; }
  // The newest planner that has notified this process of its takeover; epoch 0 if there is none.
  virtual PlannerRecord Successor() const { return {}; }
};

// Blocking client of the active planner. Throws Error: those of PlannerGate, kConnectionLost,
// kDeadlineExceeded.
class PlannerClient {
 public:
  virtual ~PlannerClient() = default;
  // Whether calls are relayed by another entry.
  virtual bool relayed() const { return false; }
  virtual AgentOrders Exchange(const AgentReport& report, Duration timeout) = 0;
  virtual void Submit(const JobSpec& spec, Duration timeout) = 0;
  virtual void Cancel(const std::string& id, Duration timeout) = 0;
  virtual void Yield(const PlannerRecord& successor, Duration timeout) = 0;
  virtual void Offer(Duration timeout) = 0;
  // Lets calls in flight fail, with outcome unknown. May be called from any thread.
  virtual void Close() {}
  virtual void TakeOver(const PlannerRecord& /*planner*/, Duration /*timeout*/) {
    throw Error(ErrorKind::kUnavailable, Outcome::kNotRun, "takeovers are not supported");
  }
  // The newest planner that the process at the other end knows of; epoch 0 if it knows none.
  virtual PlannerRecord KnownPlanner(Duration /*timeout*/) { return {}; }
};

// Connects to planners by address, within `limit`. Throws Error(kUnavailable).
class PlannerConnector {
 public:
  virtual ~PlannerConnector() = default;
  virtual std::shared_ptr<PlannerClient> Connect(const std::string& address, Duration limit) = 0;
  // Connects through the entry at `relay` to `planner` or a newer one.
  virtual std::shared_ptr<PlannerClient> ConnectThrough(const std::string& relay,
                                                        const PlannerRecord& /*planner*/,
                                                        Duration /*limit*/) {
    throw Error(ErrorKind::kUnavailable, Outcome::kNotRun,
                "connections through a relay are not supported: " + relay);
  }
};

}  // namespace turmericshift::pool
