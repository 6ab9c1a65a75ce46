// Which availability zone's planner a new job goes to. A pure function of the document and the
// jobs, used by entries and by replay in the same way.
#pragma once

#include <map>
#include <string>

#include "servers/config/environment.h"
#include "servers/jobs/job.h"

namespace turmericshift {

// The zone with the fewest open jobs among those that the job allows and that are in; "" if there
// is none.
std::string ChooseZone(const Environment& environment, const JobSpec& spec,
                       const std::map<std::string, size_t>& open_jobs);

}  // namespace turmericshift
