// An agent as entries call it. rpc/ implements it over a session; tests wrap it to inject faults.
#pragma once

#include "servers/ports/messages.h"

namespace turmericshift {

// Every call may throw Error. A lost connection or a timeout leaves the outcome unknown.
class AgentPort {
 public:
  virtual ~AgentPort() = default;

  // Throws Error with outcome not_run only if the target was not called and never will be for
  // this request.
  virtual ServiceAnswer Serve(const ServiceRequest& request) = 0;
  // Best effort: the caller of that request has gone.
  virtual void Cancel(const std::string& request_id) = 0;
  virtual RequestStatusReply Resolve(const RequestStatusQuery& question, Duration timeout) = 0;
  // The session is given up: calls in flight fail with outcome unknown instead of waiting for an
  // answer that a silent connection will never carry.
  virtual void Drop() {}

  // Gang steps. Throw Error(kFenced) below the highest epoch seen, Error(kConflict) when the room
  // is taken, Error(kStale) when the agent may not start work at present.
  virtual void Reserve(const GangReserve& reserve, Duration timeout) = 0;
  virtual void Start(const GangStart& start, Duration timeout) = 0;
  virtual void Release(const GangAction& action, Duration timeout) = 0;
  virtual void Renew(const GangAction& action, Duration timeout) = 0;
  // Returns only when no task of the attempt is live here and none can become so; throws
  // Error(kConflict) while they are still stopping. Call it again until it returns.
  virtual void Stop(const GangAction& action, Duration timeout) = 0;
  // The end of this job's attempt is recorded; its reports may be dropped.
  virtual void Forget(const GangAction& action, Duration timeout) = 0;
};

}  // namespace turmericshift
