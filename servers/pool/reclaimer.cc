#include "servers/pool/reclaimer.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace turmericshift::pool {
namespace {

// Victims that end together.
struct Bundle {
  std::vector<const Victim*> members;
  double cost = 0;
};

// Keeps a bundle without cost from dividing by zero.
constexpr double kLeastCost = 0.01;

std::vector<Bundle> MakeBundles(const std::vector<Victim>& victims) {
  std::map<std::string, Bundle> gangs;
  std::vector<Bundle> bundles;
  for (const Victim& victim : victims) {
    if (victim.gang.empty()) {
      bundles.push_back({{&victim}, victim.cost});
      continue;
    }
    Bundle& bundle = gangs[victim.gang];
    bundle.members.push_back(&victim);
    bundle.cost += victim.cost;
  }
  for (auto& [name, bundle] : gangs) bundles.push_back(std::move(bundle));
  return bundles;
}

void Free(const Bundle& bundle, std::vector<WorkerRoom>* workers) {
  for (const Victim* victim : bundle.members) {
    for (WorkerRoom& worker : *workers) {
      if (worker.node == victim->node) worker.free += victim->need;
    }
  }
}

int Slots(const PlaceWish& wish, const std::vector<WorkerRoom>& workers) {
  int slots = 0;
  for (const WorkerRoom& worker : workers) {
    slots += FitCount(worker.free, wish.step->need, std::min(wish.tasks, worker.most_tasks));
  }
  return slots;
}

// How much of what a task needs the bundle frees on these workers; breaks ties where no single
// bundle makes a whole task fit.
double FreedShare(const PlaceWish& wish, const Bundle& bundle,
                  const std::vector<WorkerRoom>& workers) {
  const Room& need = wish.step->need;
  double share = 0;
  for (const Victim* victim : bundle.members) {
    const bool here = std::any_of(workers.begin(), workers.end(), [&](const WorkerRoom& worker) {
      return worker.node == victim->node && worker.most_tasks > 0;
    });
    if (!here) continue;
    const auto part = [](int64_t freed, int64_t needed) {
      return needed > 0 ? std::min(1.0, static_cast<double>(freed) / static_cast<double>(needed))
                        : 0.0;
    };
    share += part(victim->need.accelerators, need.accelerators) +
             part(victim->need.processor_millis, need.processor_millis);
  }
  return share;
}

// The bundle that brings most for its cost; null when none brings anything.
const Bundle* BestBundle(const PlaceWish& wish, const std::vector<WorkerRoom>& workers,
                         const std::vector<Bundle>& bundles, const std::set<const Bundle*>& taken) {
  const int slots = Slots(wish, workers);
  const Bundle* best = nullptr;
  double best_value = 0;
  for (const Bundle& bundle : bundles) {
    if (taken.count(&bundle) > 0) continue;
    std::vector<WorkerRoom> after = workers;
    Free(bundle, &after);
    const double gained = Slots(wish, after) - slots;
    // A whole slot counts far more than a part of one.
    const double worth = gained + 0.05 * FreedShare(wish, bundle, workers);
    const double value = worth / std::max(bundle.cost, kLeastCost);
    if (worth <= 0 || value <= best_value) continue;
    best = &bundle;
    best_value = value;
  }
  return best;
}

bool Fits(const PlaceWish& wish, const std::vector<WorkerRoom>& workers, Placement* placement) {
  *placement = Place(wish, workers);
  return static_cast<int>(placement->size()) >= wish.tasks;
}

// Stops that turned out not to be needed are taken back, the dearest first.
void Prune(const PlaceWish& wish, const std::vector<WorkerRoom>& workers,
           std::set<const Bundle*>* taken) {
  std::vector<const Bundle*> dearest(taken->begin(), taken->end());
  std::sort(dearest.begin(), dearest.end(),
            [](const Bundle* left, const Bundle* right) { return left->cost > right->cost; });
  for (const Bundle* candidate : dearest) {
    std::vector<WorkerRoom> without = workers;
    for (const Bundle* bundle : *taken) {
      if (bundle != candidate) Free(*bundle, &without);
    }
    Placement placement;
    if (Fits(wish, without, &placement)) taken->erase(candidate);
  }
}

std::optional<ReclaimPlan> ReclaimWithin(const PlaceWish& wish,
                                         const std::vector<WorkerRoom>& workers,
                                         const std::vector<Bundle>& bundles) {
  std::vector<WorkerRoom> rooms = workers;
  std::set<const Bundle*> taken;
  Placement placement;
  while (!Fits(wish, rooms, &placement)) {
    const Bundle* best = BestBundle(wish, rooms, bundles, taken);
    if (best == nullptr) return std::nullopt;
    taken.insert(best);
    Free(*best, &rooms);
  }
  Prune(wish, workers, &taken);
  rooms = workers;
  ReclaimPlan plan;
  for (const Bundle* bundle : taken) {
    Free(*bundle, &rooms);
    plan.cost += bundle->cost;
    for (const Victim* victim : bundle->members) plan.stops.push_back(victim->run);
  }
  plan.placement = Place(wish, rooms);
  return plan;
}

}  // namespace

std::optional<ReclaimPlan> ChooseVictims(const PlaceWish& wish,
                                         const std::vector<WorkerRoom>& workers,
                                         const std::vector<Victim>& victims) {
  const std::vector<Bundle> bundles = MakeBundles(victims);
  std::map<std::string, std::vector<WorkerRoom>> racks;
  for (const WorkerRoom& worker : workers) racks[worker.rack].push_back(worker);
  PlaceWish strict = wish;
  strict.may_stray = false;
  std::optional<ReclaimPlan> best;
  for (const auto& [rack, rooms] : racks) {
    std::optional<ReclaimPlan> plan = ReclaimWithin(strict, rooms, bundles);
    if (plan && (!best || plan->cost < best->cost)) best = std::move(plan);
  }
  const bool any_rack_will_do = !wish.step->one_rack && wish.step->data_rack.empty();
  if (any_rack_will_do || (!best && wish.may_stray)) {
    std::optional<ReclaimPlan> plan = ReclaimWithin(wish, workers, bundles);
    if (plan && (!best || plan->cost < best->cost)) best = std::move(plan);
  }
  return best;
}

}  // namespace turmericshift::pool
