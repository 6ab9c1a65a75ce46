// Carries a gang's steps out at its agents: reserve everywhere, start held everywhere, release when
// all are up. Any failure undoes what was done.
#pragma once

#include <string>
#include <vector>

#include "servers/entry/agent_directory.h"
#include "servers/planner/zone_view.h"

namespace turmericshift {

class GangRunner {
 public:
  // `directory` must outlive the runner.
  explicit GangRunner(const AgentDirectory* directory);

  // Returns when every member is released. Throws Error after undoing: not_run if no member was
  // released, unknown if some were.
  void Start(const StartDecision& start, const JobSpec& spec, const std::string& job,
             const std::string& checkpoint, Sequence epoch, Duration lease) const;
  // Renews the lease of all members, only if every one of them can be reached and agrees.
  // Returns whether it was renewed.
  bool Renew(const RunningJob& job, Sequence epoch, Duration lease) const;
  // Best effort at each member; a member that can't be reached stops when its lease runs out.
  void Stop(const RunningJob& job, Sequence epoch, bool checkpoint) const;
  void Forget(const RunningJob& job, Sequence epoch) const;

 private:
  std::shared_ptr<AgentPort> RequirePort(const std::string& worker) const;

  const AgentDirectory* const directory_;
};

}  // namespace turmericshift
