// Forecasts when and where room becomes free for tasks that do not fit now. Needed for gangs of
// whole workers beside a stream of small tasks: each small task fills the next gap, so that no
// worker ever becomes empty, and the gang waits as long as small tasks keep arriving. With a
// forecast, the gang's workers reject only tasks that would end after the gang can begin (EASY
// backfilling, Lifka, JSSPP 1995).
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "servers/pool/placer.h"

namespace turmericshift::pool {

// Room that a run releases when it ends, `delay` from now.
struct RoomRelease {
  Room room;
  Duration delay{};
};

struct FutureRoom {
  WorkerRoom now;
  // The ends of the worker's runs, soonest first.
  const std::vector<RoomRelease>* releases = nullptr;
};

struct RoomForecast {
  // Time from now until all tasks can begin.
  Duration delay{};
  // Number of tasks on each node.
  std::map<std::string, int> tasks;
};

// The soonest forecast for all tasks of the request: within one rack, or the data's rack, unless
// the request allows off-rack placement. Empty if the tasks would not fit even after all runs have
// ended.
std::optional<RoomForecast> ForecastRoom(const PlacementRequest& request,
                                         const std::vector<FutureRoom>& workers);

// Room left for other tasks at `delay` from now, on a worker where `tasks` tasks of `need` are to
// begin at that time.
Room SpareRoom(const FutureRoom& worker, const Room& need, int tasks, Duration delay);

}  // namespace turmericshift::pool
