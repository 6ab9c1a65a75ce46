#include "servers/pool/reclaimer.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace turmericshift::pool {
namespace {

// Victims that end together.
struct Bundle {
  std::vector<const Victim*> members;
  double cost = 0;
};

// What a bundle frees on one of the candidates.
struct Freed {
  size_t worker = 0;
  Room room;
};

// A bundle as the candidates at hand see it.
struct Offer {
  const Bundle* bundle = nullptr;
  std::vector<Freed> freed;
  bool taken = false;
};

// Keeps a bundle without cost from dividing by zero.
constexpr double kLeastCost = 0.01;
// A part of a whole slot counts little: it only breaks ties where no single bundle makes a task
// fit.
constexpr double kPartWeight = 0.05;

std::vector<Bundle> MakeBundles(const std::vector<Victim>& victims) {
  std::map<std::string_view, Bundle> gangs;
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

std::vector<Offer> MakeOffers(const std::vector<Bundle>& bundles,
                              const std::vector<WorkerRoom>& workers) {
  std::map<std::string_view, size_t> indices;
  for (size_t i = 0; i < workers.size(); ++i) indices[workers[i].node] = i;
  std::vector<Offer> offers;
  for (const Bundle& bundle : bundles) {
    std::map<size_t, Room> freed;
    for (const Victim* victim : bundle.members) {
      const auto index = indices.find(victim->node);
      if (index != indices.end()) freed[index->second] += victim->need;
    }
    if (freed.empty()) continue;
    Offer offer;
    offer.bundle = &bundle;
    for (const auto& [worker, room] : freed) offer.freed.push_back({worker, room});
    offers.push_back(std::move(offer));
  }
  return offers;
}

void Free(const Offer& offer, std::vector<WorkerRoom>* workers) {
  for (const Freed& freed : offer.freed) (*workers)[freed.worker].free += freed.room;
}

// Part of what a task needs, at most all of it.
double Part(int64_t freed, int64_t needed) {
  return needed > 0 ? std::min(1.0, static_cast<double>(freed) / static_cast<double>(needed)) : 0.0;
}

// Tasks that the offer makes room for, and a little for parts of one.
double WorthOf(const PlaceWish& wish, const Offer& offer, const std::vector<WorkerRoom>& workers) {
  const Room& need = wish.step->need;
  double worth = 0;
  for (const Freed& freed : offer.freed) {
    const WorkerRoom& worker = workers[freed.worker];
    const int most = std::min(wish.tasks, worker.most_tasks);
    if (most <= 0) continue;
    Room after = worker.free;
    after += freed.room;
    worth += FitCount(after, need, most) - FitCount(worker.free, need, most);
    worth += kPartWeight * (Part(freed.room.accelerators, need.accelerators) +
                            Part(freed.room.processor_millis, need.processor_millis));
  }
  return worth;
}

// The offer that brings most for its cost; null when none brings anything.
Offer* BestOffer(const PlaceWish& wish, const std::vector<WorkerRoom>& workers,
                 std::vector<Offer>* offers) {
  Offer* best = nullptr;
  double best_value = 0;
  for (Offer& offer : *offers) {
    if (offer.taken) continue;
    const double value = WorthOf(wish, offer, workers) / std::max(offer.bundle->cost, kLeastCost);
    if (value <= best_value) continue;
    best = &offer;
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
           std::vector<Offer>* offers) {
  std::vector<Offer*> dearest;
  for (Offer& offer : *offers) {
    if (offer.taken) dearest.push_back(&offer);
  }
  std::sort(dearest.begin(), dearest.end(), [](const Offer* left, const Offer* right) {
    return left->bundle->cost > right->bundle->cost;
  });
  for (Offer* candidate : dearest) {
    std::vector<WorkerRoom> without = workers;
    for (const Offer* offer : dearest) {
      if (offer != candidate && offer->taken) Free(*offer, &without);
    }
    Placement placement;
    if (Fits(wish, without, &placement)) candidate->taken = false;
  }
}

std::optional<ReclaimPlan> ReclaimWithin(const PlaceWish& wish,
                                         const std::vector<WorkerRoom>& workers,
                                         const std::vector<Bundle>& bundles) {
  std::vector<WorkerRoom> rooms = workers;
  std::vector<Offer> offers = MakeOffers(bundles, workers);
  Placement placement;
  while (!Fits(wish, rooms, &placement)) {
    Offer* best = BestOffer(wish, rooms, &offers);
    if (best == nullptr) return std::nullopt;
    best->taken = true;
    Free(*best, &rooms);
  }
  Prune(wish, workers, &offers);
  rooms = workers;
  ReclaimPlan plan;
  for (const Offer& offer : offers) {
    if (!offer.taken) continue;
    Free(offer, &rooms);
    plan.cost += offer.bundle->cost;
    for (const Victim* victim : offer.bundle->members) plan.stops.push_back(victim->run);
  }
  plan.placement = Place(wish, rooms);
  return plan;
}

}  // namespace

std::optional<ReclaimPlan> ChooseVictims(const PlaceWish& wish,
                                         const std::vector<WorkerRoom>& workers,
                                         const std::vector<Victim>& victims) {
  const std::vector<Bundle> bundles = MakeBundles(victims);
  std::map<std::string_view, std::vector<WorkerRoom>> racks;
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
