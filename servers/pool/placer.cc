#include "servers/pool/placer.h"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

namespace turmericshift::pool {
namespace {

using Group = std::vector<const WorkerRoom*>;

int64_t FitInto(int64_t room, int64_t need) {
  return need <= 0 ? std::numeric_limits<int>::max() : std::max<int64_t>(room, 0) / need;
}

// Workers that a single task had better go to come first: those of its like.
int LikenessRank(const StepSpec& step, Occupancy tenants) {
  if (tenants == Occupancy::kNone) return 1;
  return (tenants == Occupancy::kSaved) == step.checkpoints ? 0 : 2;
}

// Sound workers first, and of those the ones with least left. Single tasks keep to their like:
// those that can be stopped without loss share workers, so that these can be cleared for a gang at
// little cost, and the others go where clearing is dear already.
bool ComesFirst(const StepSpec& step, const WorkerRoom* left, const WorkerRoom* right) {
  if (left->doubtful != right->doubtful) return !left->doubtful;
  const int left_rank = step.gang ? 0 : LikenessRank(step, left->tenants);
  const int right_rank = step.gang ? 0 : LikenessRank(step, right->tenants);
  if (left_rank != right_rank) return left_rank < right_rank;
  if (left->free.accelerators != right->free.accelerators) {
    return left->free.accelerators < right->free.accelerators;
  }
  if (left->free.processor_millis != right->free.processor_millis) {
    return left->free.processor_millis < right->free.processor_millis;
  }
  return left->node < right->node;
}

// Fills the group's workers one after the other; shorter than `tasks` when room runs out.
Placement Fill(Group group, const StepSpec& step, int tasks) {
  std::sort(group.begin(), group.end(), [&](const WorkerRoom* left, const WorkerRoom* right) {
    return ComesFirst(step, left, right);
  });
  Placement placement;
  for (const WorkerRoom* worker : group) {
    const int wanted = tasks - static_cast<int>(placement.size());
    const int fits = FitCount(worker->free, step.need, std::min(wanted, worker->most_tasks));
    placement.insert(placement.end(), static_cast<size_t>(fits), std::string(worker->node));
  }
  return placement;
}

std::map<std::string_view, Group> ByRack(const std::vector<WorkerRoom>& workers) {
  std::map<std::string_view, Group> racks;
  for (const WorkerRoom& worker : workers) racks[worker.rack].push_back(&worker);
  return racks;
}

int64_t FreeAccelerators(const Group& group) {
  int64_t sum = 0;
  for (const WorkerRoom* worker : group) sum += worker->free.accelerators;
  return sum;
}

bool HasDoubtful(const Group& group, const Placement& placement) {
  return std::any_of(group.begin(), group.end(), [&](const WorkerRoom* worker) {
    return worker->doubtful &&
           std::find(placement.begin(), placement.end(), worker->node) != placement.end();
  });
}

Placement PlaceGangInRack(const PlaceWish& wish, const std::vector<WorkerRoom>& workers) {
  Placement best;
  // Lower comes first: unsound workers, another rack than the data's, accelerators left over.
  std::tuple<bool, bool, int64_t> best_rank;
  for (const auto& [rack, group] : ByRack(workers)) {
    Placement placement = Fill(group, *wish.step, wish.tasks);
    if (static_cast<int>(placement.size()) < wish.tasks) continue;
    const bool elsewhere = !wish.step->data_rack.empty() && rack != wish.step->data_rack;
    if (elsewhere && !wish.may_stray) continue;
    const std::tuple<bool, bool, int64_t> rank = {HasDoubtful(group, placement), elsewhere,
                                                  FreeAccelerators(group)};
    if (!best.empty() && rank >= best_rank) continue;
    best = std::move(placement);
    best_rank = rank;
  }
  return best;
}

Group All(const std::vector<WorkerRoom>& workers) {
  Group group;
  for (const WorkerRoom& worker : workers) group.push_back(&worker);
  return group;
}

Placement PlaceGang(const PlaceWish& wish, const std::vector<WorkerRoom>& workers) {
  Placement placement = PlaceGangInRack(wish, workers);
  if (!placement.empty()) return placement;
  const bool bound_to_rack = wish.step->one_rack || !wish.step->data_rack.empty();
  if (bound_to_rack && !wish.may_stray) return {};
  placement = Fill(All(workers), *wish.step, wish.tasks);
  if (static_cast<int>(placement.size()) < wish.tasks) return {};
  return placement;
}

Placement PlaceSingles(const PlaceWish& wish, const std::vector<WorkerRoom>& workers) {
  if (wish.step->data_rack.empty()) return Fill(All(workers), *wish.step, wish.tasks);
  Group near;
  Group far;
  for (const WorkerRoom& worker : workers) {
    (worker.rack == wish.step->data_rack ? near : far).push_back(&worker);
  }
  Placement placement = Fill(near, *wish.step, wish.tasks);
  if (!wish.may_stray) return placement;
  const int rest = wish.tasks - static_cast<int>(placement.size());
  const Placement strayed = Fill(far, *wish.step, rest);
  placement.insert(placement.end(), strayed.begin(), strayed.end());
  return placement;
}

}  // namespace

int FitCount(const Room& room, const Room& need, int most) {
  const int64_t fits = std::min({FitInto(room.processor_millis, need.processor_millis),
                                 FitInto(room.memory_mib, need.memory_mib),
                                 FitInto(room.accelerators, need.accelerators)});
  return static_cast<int>(std::clamp<int64_t>(fits, 0, std::max(most, 0)));
}

Placement Place(const PlaceWish& wish, const std::vector<WorkerRoom>& workers) {
  return wish.step->gang ? PlaceGang(wish, workers) : PlaceSingles(wish, workers);
}

bool FitsOneRack(const PlaceWish& wish, const std::vector<WorkerRoom>& empty_workers) {
  PlaceWish strict = wish;
  strict.may_stray = false;
  if (wish.step->gang) return !PlaceGangInRack(strict, empty_workers).empty();
  return !PlaceSingles(strict, empty_workers).empty();
}

}  // namespace turmericshift::pool
