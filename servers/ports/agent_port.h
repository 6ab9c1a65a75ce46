// The calls that an entry makes to an agent. rpc/ implements them over a session; tests wrap them
// to inject faults.
#pragma once

#include "servers/ports/messages.h"

namespace turmericshift {

// Every call may throw Error. After a lost connection or a timeout, the outcome is unknown.
class AgentPort {
 public:
  virtual ~AgentPort() = default;

  // Passes the request to the target. Throws Error with outcome not_run only if the target was not
  // called and never will be for this request.
  virtual ServiceAnswer Serve(const ServiceRequest& request) = 0;
  // Cancels a request whose caller has disconnected. Best effort.
  virtual void Cancel(const std::string& request_id) = 0;
  // Returns whether a request that was sent earlier ran, is running or never will run.
  virtual RequestStatusReply Resolve(const RequestStatusQuery& question, Duration timeout) = 0;
  // Closes the session. Calls in flight fail with outcome unknown immediately, because on a silent
  // connection their answers would never arrive.
  virtual void Drop() {}

  // Gang calls. They throw Error(kFenced) if the request's epoch is below the highest that the
  // agent has seen, Error(kConflict) if the room is taken, and Error(kStale) if the agent may not
  // start work at present.
  virtual void Reserve(const GangReserve& reserve, Duration timeout) = 0;
  virtual void Start(const GangStart& start, Duration timeout) = 0;
  virtual void Release(const GangAction& action, Duration timeout) = 0;
  virtual void Renew(const GangAction& action, Duration timeout) = 0;
  // Returns only when no task of the attempt is running on this agent and none can start any more.
  // Throws Error(kConflict) while tasks are still stopping; the caller must repeat the call until
  // it returns.
  virtual void Stop(const GangAction& action, Duration timeout) = 0;
  // Tells the agent that the end of this attempt is recorded, so that its task reports may be
  // discarded.
  virtual void Forget(const GangAction& action, Duration timeout) = 0;
};

}  // namespace turmericshift
