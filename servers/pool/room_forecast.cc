#include "servers/pool/room_forecast.h"

#include <algorithm>
#include <utility>

namespace turmericshift::pool {
namespace {

using Group = std::vector<const FutureRoom*>;

// The end of one run on one worker of the group.
struct Event {
  Duration in{};
  size_t worker = 0;
  const Room* room = nullptr;
};

int Fits(const PlaceWish& wish, const FutureRoom& worker, const Room& free) {
  return FitCount(free, wish.step->need, std::min(wish.tasks, worker.now.most_tasks));
}

// Ends that can matter, the soonest first: those on workers that may take any task at all.
std::vector<Event> EventsOf(const Group& group) {
  std::vector<Event> events;
  for (size_t i = 0; i < group.size(); ++i) {
    if (group[i]->now.most_tasks <= 0) continue;
    for (const Freeing& freeing : *group[i]->freeing) {
      events.push_back({freeing.in, i, &freeing.room});
    }
  }
  std::sort(events.begin(), events.end(),
            [](const Event& left, const Event& right) { return left.in < right.in; });
  return events;
}

// Takes the workers with most room first, so that the fewest are kept from others.
std::map<std::string, int> Share(const Group& group, const std::vector<int>& fits, int tasks) {
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

std::optional<RoomForecast> ForecastWithin(const PlaceWish& wish, const Group& group) {
  std::vector<Room> free;
  std::vector<int> fits;
  int total = 0;
  for (const FutureRoom* worker : group) {
    free.push_back(worker->now.free);
    fits.push_back(Fits(wish, *worker, free.back()));
    total += fits.back();
  }
  RoomForecast forecast;
  if (total < wish.tasks) {
    for (const Event& event : EventsOf(group)) {
      free[event.worker] += *event.room;
      const int now_fits = Fits(wish, *group[event.worker], free[event.worker]);
      total += now_fits - fits[event.worker];
      fits[event.worker] = now_fits;
      forecast.in = event.in;
      if (total >= wish.tasks) break;
    }
  }
  if (total < wish.tasks) return std::nullopt;
  forecast.tasks = Share(group, fits, wish.tasks);
  return forecast;
}

}  // namespace

std::optional<RoomForecast> ForecastRoom(const PlaceWish& wish,
                                         const std::vector<FutureRoom>& workers) {
  const bool one_rack = wish.step->one_rack && !wish.may_stray;
  const bool data_rack = !wish.step->data_rack.empty() && !wish.may_stray;
  std::map<std::string_view, Group> groups;
  for (const FutureRoom& worker : workers) {
    if (data_rack && worker.now.rack != wish.step->data_rack) continue;
    groups[one_rack ? worker.now.rack : std::string_view()].push_back(&worker);
  }
  std::optional<RoomForecast> soonest;
  for (const auto& [rack, group] : groups) {
    std::optional<RoomForecast> forecast = ForecastWithin(wish, group);
    if (forecast && (!soonest || forecast->in < soonest->in)) soonest = std::move(forecast);
  }
  return soonest;
}

Room SpareRoom(const FutureRoom& worker, const Room& need, int tasks, Duration in) {
  Room spare = worker.now.free;
  for (const Freeing& freeing : *worker.freeing) {
    if (freeing.in > in) break;
    spare += freeing.room;
  }
  for (int task = 0; task < tasks; ++task) spare -= need;
  return spare;
}

}  // namespace turmericshift::pool
