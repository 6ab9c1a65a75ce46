#include "servers/pool/room_forecast.h"

#include <algorithm>
#include <utility>

namespace turmericshift::pool {
namespace {

using Group = std::vector<const FutureRoom*>;

// The end of a run on a worker of the group.
struct Event {
  Duration delay{};
  size_t worker = 0;
  const Room* room = nullptr;
};

int CountFits(const PlacementRequest& request, const FutureRoom& worker, const Room& free) {
  return FitCount(free, request.step->need, std::min(request.tasks, worker.now.max_tasks));
}

// Ends of runs on workers that may take at least one task, soonest first.
std::vector<Event> EventsOf(const Group& group) {
  std::vector<Event> events;
  for (size_t i = 0; i < group.size(); ++i) {
    if (group[i]->now.max_tasks <= 0) continue;
    for (const RoomRelease& release : *group[i]->releases) {
      events.push_back({release.delay, i, &release.room});
    }
  }
  std::sort(events.begin(), events.end(),
            [](const Event& left, const Event& right) { return left.delay < right.delay; });
  return events;
}

// Distributes the tasks over the workers with the most room first, so that the fewest workers are
// reserved.
std::map<std::string, int> ShareTasks(const Group& group, const std::vector<int>& fits, int tasks) {
  std::vector<size_t> order;
  for (size_t i = 0; i < group.size(); ++i) {
    if (fits[i] > 0) order.push_back(i);
  }
  std::stable_sort(order.begin(), order.end(),
                   [&](size_t left, size_t right) { return fits[left] > fits[right]; });
  std::map<std::string, int> shares;
  for (const size_t i : order) {
    const int share = std::min(tasks, fits[i]);
    if (share <= 0) break;
    shares[std::string(group[i]->now.node)] = share;
    tasks -= share;
  }
  return shares;
}

std::optional<RoomForecast> ForecastWithin(const PlacementRequest& request, const Group& group) {
  std::vector<Room> free;
  std::vector<int> fits;
  int total = 0;
  for (const FutureRoom* worker : group) {
    free.push_back(worker->now.free);
    fits.push_back(CountFits(request, *worker, free.back()));
    total += fits.back();
  }
  RoomForecast forecast;
  if (total < request.tasks) {
    for (const Event& event : EventsOf(group)) {
      free[event.worker] += *event.room;
      const int now_fits = CountFits(request, *group[event.worker], free[event.worker]);
      total += now_fits - fits[event.worker];
      fits[event.worker] = now_fits;
      forecast.delay = event.delay;
      if (total >= request.tasks) break;
    }
  }
  if (total < request.tasks) return std::nullopt;
  forecast.tasks = ShareTasks(group, fits, request.tasks);
  return forecast;
}

}  // namespace

std::optional<RoomForecast> ForecastRoom(const PlacementRequest& request,
                                         const std::vector<FutureRoom>& workers) {
  const bool one_rack = request.step->one_rack && !request.allow_off_rack;
  const bool data_rack = !request.step->data_rack.empty() && !request.allow_off_rack;
  std::map<std::string_view, Group> groups;
  for (const FutureRoom& worker : workers) {
    if (data_rack && worker.now.rack != request.step->data_rack) continue;
    groups[one_rack ? worker.now.rack : std::string_view()].push_back(&worker);
  }
  std::optional<RoomForecast> soonest;
  for (const auto& [rack, group] : groups) {
    std::optional<RoomForecast> forecast = ForecastWithin(request, group);
    if (forecast && (!soonest || forecast->delay < soonest->delay)) soonest = std::move(forecast);
  }
  return soonest;
}

Room SpareRoom(const FutureRoom& worker, const Room& need, int tasks, Duration delay) {
  Room spare = worker.now.free;
  for (const RoomRelease& release : *worker.releases) {
    if (release.delay > delay) break;
    spare += release.room;
  }
  for (int task = 0; task < tasks; ++task) spare -= need;
  return spare;
}

}  // namespace turmericshift::pool
