#include "servers/pool/reclaimer.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <string_view>
#include <utility>

namespace turmericshift::pool {
namespace {

struct OutcomeName {
  ReclaimOutcome outcome;
  const char* name;
};

constexpr std::array<OutcomeName, 5> kOutcomeNames = {{
    {ReclaimOutcome::kNotConsidered, "not_considered"},
    {ReclaimOutcome::kNoGain, "no_gain"},
    {ReclaimOutcome::kNotEnoughRoom, "not_enough_room"},
    {ReclaimOutcome::kTooCostly, "too_costly"},
    {ReclaimOutcome::kOrdered, "ordered"},
}};

// Victims that are stopped together.
struct VictimGroup {
  std::vector<const Victim*> members;
  double cost = 0;
  bool over_share = false;
};

// Room that a victim group frees on one of the candidate workers.
struct Freed {
  size_t worker = 0;
  Room room;
};

// A victim group with the room that it frees on the candidate workers.
struct Option {
  const VictimGroup* group = nullptr;
  std::vector<Freed> freed;
  bool taken = false;
};

// Avoids a division by zero for victim groups without cost.
constexpr double kMinCost = 0.01;
// Weight of room for a part of a task: low, so that it only breaks ties where no single victim
// group makes a task fit.
constexpr double kPartialFitWeight = 0.05;
// Costs that differ relatively by less than this are equal but for rounding.
constexpr double kRoundingError = 1e-9;

bool AreEqual(double left, double right) {
  return std::abs(left - right) <= kRoundingError * std::max(left, right);
}

std::vector<VictimGroup> GroupVictims(const std::vector<Victim>& victims) {
  std::map<std::string_view, VictimGroup> gangs;
  std::vector<VictimGroup> groups;
  for (const Victim& victim : victims) {
    if (victim.gang.empty()) {
      groups.push_back({{&victim}, victim.cost, victim.over_share});
      continue;
    }
    VictimGroup& group = gangs[victim.gang];
    group.members.push_back(&victim);
    group.cost += victim.cost;
    group.over_share = victim.over_share;
  }
  for (auto& [name, group] : gangs) groups.push_back(std::move(group));
  return groups;
}

std::vector<Option> MakeOptions(const std::vector<VictimGroup>& groups,
                                const std::vector<WorkerRoom>& workers) {
  std::map<std::string_view, size_t> indices;
  for (size_t i = 0; i < workers.size(); ++i) indices[workers[i].node] = i;
  std::vector<Option> options;
  for (const VictimGroup& group : groups) {
    std::map<size_t, Room> freed;
    for (const Victim* victim : group.members) {
      const auto index = indices.find(victim->node);
      if (index != indices.end()) freed[index->second] += victim->need;
    }
    if (freed.empty()) continue;
    Option option;
    option.group = &group;
    for (const auto& [worker, room] : freed) option.freed.push_back({worker, room});
    options.push_back(std::move(option));
  }
  return options;
}

void Free(const Option& option, std::vector<WorkerRoom>* workers) {
  for (const Freed& freed : option.freed) (*workers)[freed.worker].free += freed.room;
}

// Share of the need that is freed, at most 1.
double ShareOf(int64_t freed, int64_t needed) {
  return needed > 0 ? std::min(1.0, static_cast<double>(freed) / static_cast<double>(needed)) : 0.0;
}

// Number of tasks that the option makes room for, plus a little for parts of a task.
double GainOf(const PlacementRequest& request, const Option& option,
              const std::vector<WorkerRoom>& workers) {
  const Room& need = request.step->need;
  double gain = 0;
  for (const Freed& freed : option.freed) {
    const WorkerRoom& worker = workers[freed.worker];
    const int max_tasks = std::min(request.tasks, worker.max_tasks);
    if (max_tasks <= 0) continue;
    Room after = worker.free;
    after += freed.room;
    gain += FitCount(after, need, max_tasks) - FitCount(worker.free, need, max_tasks);
    gain += kPartialFitWeight * (ShareOf(freed.room.accelerators, need.accelerators) +
                                 ShareOf(freed.room.processor_millis, need.processor_millis));
  }
  return gain;
}

// The option with the highest gain per cost; null if none has a gain.
Option* BestOption(const PlacementRequest& request, const std::vector<WorkerRoom>& workers,
                   std::vector<Option>* options) {
  Option* best = nullptr;
  double best_gain_per_cost = 0;
  for (Option& option : *options) {
    if (option.taken) continue;
    const double gain_per_cost =
        GainOf(request, option, workers) / std::max(option.group->cost, kMinCost);
    if (gain_per_cost <= 0) continue;
    const bool differ = best != nullptr && option.group->over_share != best->group->over_share;
    const bool better = differ && AreEqual(gain_per_cost, best_gain_per_cost)
                            ? option.group->over_share
                            : gain_per_cost > best_gain_per_cost;
    if (!better) continue;
    best = &option;
    best_gain_per_cost = gain_per_cost;
  }
  return best;
}

bool Fits(const PlacementRequest& request, const std::vector<WorkerRoom>& workers,
          Placement* placement) {
  *placement = Place(request, workers);
  return static_cast<int>(placement->size()) >= request.tasks;
}

// Drops options that turned out not to be needed, most expensive first.
void Prune(const PlacementRequest& request, const std::vector<WorkerRoom>& workers,
           std::vector<Option>* options) {
  std::vector<Option*> by_cost;
  for (Option& option : *options) {
    if (option.taken) by_cost.push_back(&option);
  }
  std::sort(by_cost.begin(), by_cost.end(), [](const Option* left, const Option* right) {
    const VictimGroup& one = *left->group;
    const VictimGroup& other = *right->group;
    return one.cost != other.cost ? one.cost > other.cost : one.over_share < other.over_share;
  });
  for (Option* candidate : by_cost) {
    std::vector<WorkerRoom> without = workers;
    for (const Option* option : by_cost) {
      if (option != candidate && option->taken) Free(*option, &without);
    }
    Placement placement;
    if (Fits(request, without, &placement)) candidate->taken = false;
  }
}

std::optional<ReclaimPlan> ReclaimWithin(const PlacementRequest& request,
                                         const std::vector<WorkerRoom>& workers,
                                         const std::vector<VictimGroup>& groups) {
  std::vector<WorkerRoom> rooms = workers;
  std::vector<Option> options = MakeOptions(groups, workers);
  Placement placement;
  while (!Fits(request, rooms, &placement)) {
    Option* best = BestOption(request, rooms, &options);
    if (best == nullptr) return std::nullopt;
    best->taken = true;
    Free(*best, &rooms);
  }
  Prune(request, workers, &options);
  rooms = workers;
  ReclaimPlan plan;
  for (const Option& option : options) {
    if (!option.taken) continue;
    Free(option, &rooms);
    plan.cost += option.group->cost;
    plan.over_share = option.group->over_share && (plan.stops.empty() || plan.over_share);
    for (const Victim* victim : option.group->members) plan.stops.push_back(victim->run);
  }
  plan.placement = Place(request, rooms);
  return plan;
}

bool IsBetter(const ReclaimPlan& plan, const std::optional<ReclaimPlan>& best) {
  if (!best) return true;
  if (plan.over_share != best->over_share && AreEqual(plan.cost, best->cost)) {
    return plan.over_share;
  }
  return plan.cost < best->cost;
}

}  // namespace

const char* ReclaimOutcomeName(ReclaimOutcome outcome) {
  for (const OutcomeName& row : kOutcomeNames) {
    if (row.outcome == outcome) return row.name;
  }
  return "";
}

std::optional<ReclaimPlan> ChooseVictims(const PlacementRequest& request,
                                         const std::vector<WorkerRoom>& workers,
                                         const std::vector<Victim>& victims) {
  const std::vector<VictimGroup> groups = GroupVictims(victims);
  std::map<std::string_view, std::vector<WorkerRoom>> racks;
  for (const WorkerRoom& worker : workers) racks[worker.rack].push_back(worker);
  PlacementRequest strict = request;
  strict.allow_off_rack = false;
  std::optional<ReclaimPlan> best;
  for (const auto& [rack, rooms] : racks) {
    std::optional<ReclaimPlan> plan = ReclaimWithin(strict, rooms, groups);
    if (plan && IsBetter(*plan, best)) best = std::move(plan);
  }
  const bool any_rack_allowed = !request.step->one_rack && request.step->data_rack.empty();
  if (any_rack_allowed || (!best && request.allow_off_rack)) {
    std::optional<ReclaimPlan> plan = ReclaimWithin(request, workers, groups);
    if (plan && IsBetter(*plan, best)) best = std::move(plan);
  }
  return best;
}

}  // namespace turmericshift::pool
