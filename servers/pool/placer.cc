#include "servers/pool/placer.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <limits>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace turmericshift::pool {
namespace {

using Group = std::vector<const WorkerRoom*>;

int64_t FitInto(int64_t room, int64_t need) {
  return need <= 0 ? std::numeric_limits<int>::max() : std::max<int64_t>(room, 0) / need;
}

// Order of workers for a single task: similar tasks first, then empty workers, then the rest.
int SimilarityRank(const StepSpec& step, Occupancy occupancy) {
  if (occupancy == Occupancy::kNone) return 1;
  return (occupancy == Occupancy::kResumable) == step.checkpoints ? 0 : 2;
}

// Healthy workers come first, and among them those with the least room left. Single tasks are
// grouped with similar ones: resumable tasks share workers, which can then be cleared for a gang at
// little cost, and tasks that cannot be resumed go where clearing is expensive already.
bool ComesFirst(const StepSpec& step, const WorkerRoom* left, const WorkerRoom* right) {
  if (left->suspect != right->suspect) return !left->suspect;
  if (left->outdated != right->outdated) return !left->outdated;
  if (left->speed_rank != right->speed_rank) return left->speed_rank < right->speed_rank;
  const int left_rank = step.gang ? 0 : SimilarityRank(step, left->occupancy);
  const int right_rank = step.gang ? 0 : SimilarityRank(step, right->occupancy);
  if (left_rank != right_rank) return left_rank < right_rank;
  if (left->free.accelerators != right->free.accelerators) {
    return left->free.accelerators < right->free.accelerators;
  }
  if (left->free.processor_millis != right->free.processor_millis) {
    return left->free.processor_millis < right->free.processor_millis;
  }
  return left->node < right->node;
}

// Fills the group's workers one after the other. The placement is shorter than `tasks` if room runs
// out.
Placement Fill(const Group& workers, const StepSpec& step, int tasks) {
  Group group = workers;
  std::sort(group.begin(), group.end(), [&](const WorkerRoom* left, const WorkerRoom* right) {
    return ComesFirst(step, left, right);
  });
  Placement placement;
  for (const WorkerRoom* worker : group) {
    const int wanted = tasks - static_cast<int>(placement.size());
    const int fits = FitCount(worker->free, step.need, std::min(wanted, worker->max_tasks));
    placement.insert(placement.end(), static_cast<size_t>(fits), std::string(worker->node));
  }
  return placement;
}

// Places the tasks one by one on the worker with the most free processors, less those that the
// tasks placed before want. The placement is shorter than `tasks` if other room runs out.
Placement FillUnusedProcessors(const Group& group, const StepSpec& step, int tasks) {
  struct Candidate {
    const WorkerRoom* worker = nullptr;
    int fits = 0;
    int64_t processors = 0;
  };
  const Room counted = step.counted_need();
  // The best candidate of a heap is its greatest.
  const auto is_worse = [](const Candidate& left, const Candidate& right) {
    if (left.worker->suspect != right.worker->suspect) return left.worker->suspect;
    if (left.processors != right.processors) return left.processors < right.processors;
    return left.worker->node > right.worker->node;
  };
  std::vector<Candidate> heap;
  for (const WorkerRoom* worker : group) {
    const int fits = FitCount(worker->free, counted, std::min(tasks, worker->max_tasks));
    if (fits > 0) heap.push_back({worker, fits, worker->free.processor_millis});
  }
  std::make_heap(heap.begin(), heap.end(), is_worse);
  Placement placement;
  while (static_cast<int>(placement.size()) < tasks && !heap.empty()) {
    std::pop_heap(heap.begin(), heap.end(), is_worse);
    Candidate& best = heap.back();
    placement.emplace_back(best.worker->node);
    best.processors -= step.need.processor_millis;
    if (--best.fits == 0) {
      heap.pop_back();
    } else {
      std::push_heap(heap.begin(), heap.end(), is_worse);
    }
  }
  return placement;
}

// Places the tasks on as few workers as possible: repeatedly on the worker that takes most of the
// remaining tasks, and among equals on the one with the least room. The placement is shorter than
// `tasks` if room runs out.
Placement FillFewest(Group group, const StepSpec& step, int tasks) {
  Placement placement;
  while (static_cast<int>(placement.size()) < tasks) {
    const int rest = tasks - static_cast<int>(placement.size());
    const auto rank = [&](const WorkerRoom* worker) {
      const int fits = FitCount(worker->free, step.need, std::min(rest, worker->max_tasks));
      return std::make_tuple(fits == 0, worker->suspect, worker->outdated, -fits,
                             worker->free.accelerators, worker->node);
    };
    const auto best = std::min_element(
        group.begin(), group.end(),
        [&](const WorkerRoom* left, const WorkerRoom* right) { return rank(left) < rank(right); });
    if (best == group.end() || std::get<0>(rank(*best))) break;
    const int fits = -std::get<3>(rank(*best));
    placement.insert(placement.end(), static_cast<size_t>(fits), std::string((*best)->node));
    group.erase(best);
  }
  return placement;
}

Placement FillGang(const Group& group, const PlacementRequest& request) {
  return request.few_workers ? FillFewest(group, *request.step, request.tasks)
                             : Fill(group, *request.step, request.tasks);
}

// A gang's placement and the worst rank by speed among its workers.
struct RankedPlacement {
  Placement placement;
  int speed_rank = 0;
};

bool IsComplete(const Placement& placement, const PlacementRequest& request) {
  return static_cast<int>(placement.size()) == request.tasks;
}

Group Filter(const Group& group, const std::function<bool(const WorkerRoom&)>& allows) {
  Group allowed;
  std::copy_if(group.begin(), group.end(), std::back_inserter(allowed),
               [&](const WorkerRoom* worker) { return allows(*worker); });
  return allowed;
}

// Places the gang on healthy workers if possible, and among those on workers of the lowest possible
// ranks by speed. Workers of one rank come first: a faster member would only wait for the others.
// The placement is shorter than the gang if room runs out.
RankedPlacement FillGangByRank(const Group& group, const PlacementRequest& request) {
  std::set<int> ranks;
  for (const WorkerRoom* worker : group) ranks.insert(worker->speed_rank);
  RankedPlacement best;
  for (const bool suspect : {false, true}) {
    const Group allowed =
        Filter(group, [&](const WorkerRoom& worker) { return suspect || !worker.suspect; });
    for (const int rank : ranks) {
      const Group same =
          Filter(allowed, [&](const WorkerRoom& worker) { return worker.speed_rank == rank; });
      best = {FillGang(same, request), rank};
      if (IsComplete(best.placement, request)) return best;
      const Group up_to =
          Filter(allowed, [&](const WorkerRoom& worker) { return worker.speed_rank <= rank; });
      best = {FillGang(up_to, request), rank};
      if (IsComplete(best.placement, request)) return best;
    }
  }
  return best;
}

// Whether the placement uses a worker of the group whose `flag` is set.
bool Uses(const Group& group, const Placement& placement, bool WorkerRoom::*flag) {
  return std::any_of(group.begin(), group.end(), [&](const WorkerRoom* worker) {
    return worker->*flag &&
           std::find(placement.begin(), placement.end(), worker->node) != placement.end();
  });
}

// Places the gang without outdated workers, unless that takes a suspect worker or the gang does not
// fit on the others.
RankedPlacement FillGangOnCurrent(const Group& group, const PlacementRequest& request) {
  Group current;
  std::copy_if(group.begin(), group.end(), std::back_inserter(current),
               [](const WorkerRoom* worker) { return !worker->outdated; });
  RankedPlacement placed = FillGangByRank(current, request);
  if (current.size() == group.size()) return placed;
  const bool fits = static_cast<int>(placed.placement.size()) == request.tasks;
  if (fits && !Uses(group, placed.placement, &WorkerRoom::suspect)) return placed;
  RankedPlacement on_all = FillGangByRank(group, request);
  return fits && Uses(group, on_all.placement, &WorkerRoom::suspect) ? placed : on_all;
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

Placement PlaceGangInRack(const PlacementRequest& request, const std::vector<WorkerRoom>& workers) {
  Placement best;
  // The lowest rank wins: no suspect workers, the data's own rack, no outdated workers, fast enough
  // workers, fewest free accelerators.
  std::tuple<bool, bool, bool, int, int64_t> best_rank;
  for (const auto& [rack, group] : ByRack(workers)) {
    RankedPlacement ranked = FillGangOnCurrent(group, request);
    if (static_cast<int>(ranked.placement.size()) < request.tasks) continue;
    const bool elsewhere = !request.step->data_rack.empty() && rack != request.step->data_rack;
    if (elsewhere && !request.allow_off_rack) continue;
    const std::tuple<bool, bool, bool, int, int64_t> rank = {
        Uses(group, ranked.placement, &WorkerRoom::suspect), elsewhere,
        Uses(group, ranked.placement, &WorkerRoom::outdated), ranked.speed_rank,
        FreeAccelerators(group)};
    if (!best.empty() && rank >= best_rank) continue;
    best = std::move(ranked.placement);
    best_rank = rank;
  }
  return best;
}

Group All(const std::vector<WorkerRoom>& workers) {
  Group group;
  for (const WorkerRoom& worker : workers) group.push_back(&worker);
  return group;
}

Placement PlaceGang(const PlacementRequest& request, const std::vector<WorkerRoom>& workers) {
  Placement placement = PlaceGangInRack(request, workers);
  if (!placement.empty()) return placement;
  const bool needs_rack = request.step->one_rack || !request.step->data_rack.empty();
  if (needs_rack && !request.allow_off_rack) return {};
  placement = FillGangOnCurrent(All(workers), request).placement;
  if (static_cast<int>(placement.size()) < request.tasks) return {};
  return placement;
}

Placement PlaceSingles(const PlacementRequest& request, const std::vector<WorkerRoom>& workers) {
  const auto fill = request.ignore_processors ? FillUnusedProcessors : Fill;
  if (request.step->data_rack.empty()) return fill(All(workers), *request.step, request.tasks);
  Group in_data_rack;
  Group off_rack;
  for (const WorkerRoom& worker : workers) {
    (worker.rack == request.step->data_rack ? in_data_rack : off_rack).push_back(&worker);
  }
  Placement placement = fill(in_data_rack, *request.step, request.tasks);
  if (!request.allow_off_rack) return placement;
  const int rest = request.tasks - static_cast<int>(placement.size());
  const Placement placed_off_rack = fill(off_rack, *request.step, rest);
  placement.insert(placement.end(), placed_off_rack.begin(), placed_off_rack.end());
  return placement;
}

}  // namespace

int FitCount(const Room& room, const Room& need, int max_tasks) {
  const int64_t fits = std::min({FitInto(room.processor_millis, need.processor_millis),
                                 FitInto(room.memory_mib, need.memory_mib),
                                 FitInto(room.accelerators, need.accelerators)});
  return static_cast<int>(std::clamp<int64_t>(fits, 0, std::max(max_tasks, 0)));
}

Placement Place(const PlacementRequest& request, const std::vector<WorkerRoom>& workers) {
  return request.step->gang ? PlaceGang(request, workers) : PlaceSingles(request, workers);
}

bool FitsOneRack(const PlacementRequest& request, const std::vector<WorkerRoom>& empty_workers) {
  PlacementRequest strict = request;
  strict.allow_off_rack = false;
  if (request.step->gang) return !PlaceGangInRack(strict, empty_workers).empty();
  return !PlaceSingles(strict, empty_workers).empty();
}

}  // namespace turmericshift::pool
