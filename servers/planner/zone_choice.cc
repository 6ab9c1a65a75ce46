#include "servers/planner/zone_choice.h"

#include <algorithm>

namespace turmericshift {

std::string ChooseZone(const JobSpec& spec, const Environment& environment, const JobFold& jobs) {
  std::string chosen;
  size_t fewest = 0;
  for (const auto& [name, zone] : environment.zones) {
    const bool allowed = spec.zones.empty() ||
                         std::find(spec.zones.begin(), spec.zones.end(), name) != spec.zones.end();
    if (!zone.in || !allowed) continue;
    const size_t open = jobs.OpenJobs(name).size();
    if (!chosen.empty() && open >= fewest) continue;
    chosen = name;
    fewest = open;
  }
  return chosen;
}

}  // namespace turmericshift
