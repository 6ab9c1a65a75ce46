#include "servers/planner/zone_choice.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace turmericshift {
namespace {

// A waiting job moves to another zone only if its load ratio there is lower by more than this
// value.
constexpr double kMinLoadImprovement = 0.1;

int AcceleratorsOf(const JobSpec& spec) { return spec.shape.accelerators * spec.tasks; }

const ZoneLoad& LoadOf(const ZoneLoads& loads, const std::string& zone) {
  static const ZoneLoad kNone;
  const auto found = loads.find(zone);
  return found == loads.end() ? kNone : found->second;
}

int WorkspaceLoad(const ZoneLoad& load, const std::string& workspace) {
  const auto found = load.workspace_accelerators.find(workspace);
  return found == load.workspace_accelerators.end() ? 0 : found->second;
}

// The accelerators requested per accelerator of the zone, or per accelerator of the workspace's cap
// in the zone if that ratio is higher, after adding `more` accelerators for the workspace.
double LoadRatio(const AvailabilityZoneSpec& zone, const Feasibility& feasibility,
                 const ZoneLoad& load, const std::string& workspace, int more) {
  const int cap = std::max(1, feasibility.AcceleratorCap(zone.name, workspace));
  const double of_zone =
      static_cast<double>(load.accelerators + more) / std::max(1, AcceleratorsOf(zone));
  const double of_cap = static_cast<double>(WorkspaceLoad(load, workspace) + more) / cap;
  return std::max(of_zone, of_cap);
}

// `counted_in` is the zone whose load already includes the job; "" if no load does.
std::string Choose(const Environment& environment, const Feasibility& feasibility,
                   const JobSpec& spec, const ZoneLoads& loads, const std::string& counted_in) {
  std::string chosen;
  std::tuple<bool, bool, double, int> least;
  for (const auto& [name, zone] : environment.zones) {
    if (!zone.in || feasibility.InZone(name, spec)) continue;
    const ZoneLoad& load = LoadOf(loads, name);
    const int more = name == counted_in ? 0 : AcceleratorsOf(spec);
    const int wanted = more + WorkspaceLoad(load, spec.workspace);
    const bool guaranteed = wanted <= feasibility.GuaranteedAccelerators(name, spec.workspace);
    const double load_ratio = LoadRatio(zone, feasibility, load, spec.workspace, more);
    // Free room in another zone is preferred over guaranteed room that must first be reclaimed.
    const std::tuple<bool, bool, double, int> rank = {load_ratio > 1, !guaranteed, load_ratio,
                                                      load.jobs};
    if (!chosen.empty() && rank >= least) continue;
    chosen = name;
    least = rank;
  }
  return chosen;
}

}  // namespace

void ZoneLoad::Add(const JobSpec& spec) {
  ++jobs;
  accelerators += AcceleratorsOf(spec);
  workspace_accelerators[spec.workspace] += AcceleratorsOf(spec);
}

void ZoneLoad::Remove(const JobSpec& spec) {
  --jobs;
  accelerators -= AcceleratorsOf(spec);
  workspace_accelerators[spec.workspace] -= AcceleratorsOf(spec);
}

ZoneLoads LoadsOf(const Environment& environment, const ReplicatedJobs& jobs) {
  ZoneLoads loads;
  for (const auto& [name, zone] : environment.zones) {
    for (const JobRecord& job : jobs.OpenJobs(name)) loads[name].Add(job.spec);
  }
  return loads;
}

std::string ChooseZone(const Environment& environment, const Feasibility& feasibility,
                       const JobSpec& spec, const ZoneLoads& loads) {
  return Choose(environment, feasibility, spec, loads, "");
}

std::string BetterZone(const Environment& environment, const Feasibility& feasibility,
                       const JobSpec& spec, const std::string& from, const ZoneLoads& loads) {
  const std::string to = Choose(environment, feasibility, spec, loads, from);
  if (to.empty() || to == from) return "";
  const AvailabilityZoneSpec* old_zone = environment.FindZone(from);
  if (old_zone == nullptr || !old_zone->in || feasibility.InZone(from, spec)) return to;
  const double here = LoadRatio(*old_zone, feasibility, LoadOf(loads, from), spec.workspace, 0);
  const double there = LoadRatio(*environment.FindZone(to), feasibility, LoadOf(loads, to),
                                 spec.workspace, AcceleratorsOf(spec));
  return here - there > kMinLoadImprovement ? to : "";
}

}  // namespace turmericshift
