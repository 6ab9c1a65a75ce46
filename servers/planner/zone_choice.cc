#include "servers/planner/zone_choice.h"

#include <algorithm>

namespace turmericshift {
namespace {

bool Allows(const JobSpec& spec, const std::string& zone) {
  return spec.zones.empty() ||
         std::find(spec.zones.begin(), spec.zones.end(), zone) != spec.zones.end();
}

}  // namespace

std::string ChooseZone(const Environment& environment, const JobSpec& spec,
                       const std::map<std::string, size_t>& open_jobs) {
  std::string chosen;
  size_t fewest = 0;
  for (const auto& [name, zone] : environment.zones) {
    if (!zone.in || !Allows(spec, name)) continue;
    const auto found = open_jobs.find(name);
    const size_t open = found == open_jobs.end() ? 0 : found->second;
    if (!chosen.empty() && open >= fewest) continue;
    chosen = name;
    fewest = open;
  }
  return chosen;
}

}  // namespace turmericshift
