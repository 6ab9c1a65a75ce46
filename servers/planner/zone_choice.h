// Chooses the availability zone whose planner receives a job, and decides when a waiting job should
// move to another zone. The functions are pure functions of the document and the open jobs, used by
// entries and by replay alike.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "servers/config/environment.h"
#include "servers/planner/feasibility.h"
#include "servers/state/replicated_jobs.h"

namespace turmericshift {

// The resources requested by a zone's open jobs, running and waiting.
struct ZoneLoad {
  int accelerators = 0;
  int jobs = 0;
  // Accelerators by workspace.
  std::map<std::string, int> workspace_accelerators;

  void Add(const JobSpec& spec);
  void Remove(const JobSpec& spec);
};
using ZoneLoads = std::map<std::string, ZoneLoad>;

ZoneLoads LoadsOf(const Environment& environment, const ReplicatedJobs& jobs);

// `environment` must be the one that `feasibility` was made from. Returns a zone that is in,
// allowed by the job and able to run it; "" if there is none. Prefers zones where the job fits
// without exceeding full load, then zones where it fits in unused guaranteed cells of its
// workspace, then the lowest load relative to the zone's size.
std::string ChooseZone(const Environment& environment, const Feasibility& feasibility,
                       const JobSpec& spec, const ZoneLoads& loads);

// Returns the zone that a waiting job of zone `from` should move to; "" if it should stay. A job
// moves if its zone is out or can't run it, or if another zone would be much less loaded even with
// the job. Each move narrows the difference in load, so that jobs don't move back and forth.
// Callers limit the number of moves at a time, so that a zone that comes back in is filled
// gradually.
std::string BetterZone(const Environment& environment, const Feasibility& feasibility,
                       const JobSpec& spec, const std::string& from, const ZoneLoads& loads);

}  // namespace turmericshift
