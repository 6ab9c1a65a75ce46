// When and where room for tasks that do not fit now comes free. Answers the load pattern of gangs
// of whole workers beside a stream of small tasks: every hole is filled by the next small task, so
// that no worker ever becomes empty and the gang waits as long as the stream lasts. With a forecast
// the gang's workers are kept from tasks that would end after it can begin, and from no others
// (backfilling, as described for EASY by Lifka, JSSPP 1995).
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "servers/pool/placer.h"

namespace turmericshift::pool {

// Room that a run gives back when it ends.
struct Freeing {
  Room room;
  Duration in{};
};

struct FutureRoom {
  WorkerRoom now;
  // By time, the soonest first.
  const std::vector<Freeing>* freeing = nullptr;
};

struct RoomForecast {
  // All tasks could begin after so long.
  Duration in{};
  // How many of them on each node.
  std::map<std::string, int> tasks;
};

// The soonest forecast for all tasks of the wish: within one rack, or the data's rack, unless it
// may stray. Empty when they do not fit even when all that runs has ended.
std::optional<RoomForecast> ForecastRoom(const PlaceWish& wish,
                                         const std::vector<FutureRoom>& workers);

// What is left for others on a worker that was promised `tasks` of `need` in `in`, by then.
Room SpareRoom(const FutureRoom& worker, const Room& need, int tasks, Duration in);

}  // namespace turmericshift::pool
