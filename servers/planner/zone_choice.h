// Which availability zone's planner gets a job.
#pragma once

#include <string>

#include "servers/config/environment.h"
#include "servers/jobs/job.h"
#include "servers/state/job_fold.h"

namespace turmericshift {

// The zone with the fewest open jobs among those that the job allows and that are in; "" if none.
std::string ChooseZone(const JobSpec& spec, const Environment& environment, const JobFold& jobs);

}  // namespace turmericshift
