// Which availability zone's planner a job goes to, and when a waiting one is better off elsewhere.
// Pure functions of the document and the open jobs, used by entries and by replay in the same way.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "servers/config/environment.h"
#include "servers/planner/feasibility.h"
#include "servers/state/job_fold.h"

namespace turmericshift {

// What a zone's open jobs, running and waiting, ask for.
struct ZoneLoad {
  int accelerators = 0;
  int jobs = 0;
  // By workspace.
  std::map<std::string, int> workspace_accelerators;

  void Add(const JobSpec& spec);
  void Remove(const JobSpec& spec);
};
using ZoneLoads = std::map<std::string, ZoneLoad>;

ZoneLoads LoadsOf(const Environment& environment, const JobFold& jobs);

// `environment` must be that of `feasibility`. Returns the zone that is in, allowed, can run the
// job and has the least asked of it for its size, one that holds unused guaranteed cells of the
// job's workspace before others; "" if there is none.
std::string ChooseZone(const Environment& environment, const Feasibility& feasibility,
                       const JobSpec& spec, const ZoneLoads& loads);

// Where a waiting job of zone `from` should move; "" if it should stay. It moves when its zone is
// out, or when another would be much less loaded even with it. Each move narrows the difference, so
// that jobs don't go back and forth, and callers bound the moves at a time: a zone that comes back
// is filled step by step.
std::string BetterZone(const Environment& environment, const Feasibility& feasibility,
                       const JobSpec& spec, const std::string& from, const ZoneLoads& loads);

}  // namespace turmericshift
