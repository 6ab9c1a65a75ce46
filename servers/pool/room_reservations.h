// Room that is reserved for waiting units. Two kinds: workers that a unit will get when their runs
// end (backfilling), and room for which runs have just been preempted.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "servers/pool/job_progress.h"
#include "servers/pool/placer.h"
#include "servers/pool/room_forecast.h"

namespace turmericshift::pool {

// Job and step of a unit.
using UnitKey = std::pair<std::string, StepPlace>;

// Workers reserved in one planning round for units that can begin there later. Units behind them
// may use such a worker only for tasks that end before, or fit beside.
class BackfillReservations {
 public:
  void Clear() { reservations_.clear(); }
  bool Covers(const std::string& node) const { return reservations_.count(node) > 0; }
  size_t size() const { return reservations_.size(); }
  // Reserves the forecast's workers, which are among `workers`, for tasks of size `need`.
  void Add(const UnitKey& key, const RoomForecast& forecast, const std::vector<FutureRoom>& workers,
           const Room& need, Time now);
  // Subtracts what is reserved for other units from the rooms of a unit whose tasks end at
  // `over_at`.
  void Subtract(const UnitKey& key, Time over_at, std::vector<WorkerRoom>* rooms) const;

 private:
  struct Reservation {
    UnitKey key;
    Time ready_at{};
    // Room that tasks of other units may occupy beyond `ready_at`.
    Room spare;
  };

  // By node.
  std::map<std::string, Reservation> reservations_;
};

struct ReclaimReservation {
  Placement placement;
  Room need;
  Time until{};
};

// Room for which runs have been preempted, until the units that it was freed for have started.
class ReclaimReservations {
 public:
  // Null if there is none for the unit.
  const ReclaimReservation* Find(const UnitKey& key) const;
  void Add(const UnitKey& key, ReclaimReservation reservation);
  void Remove(const UnitKey& key) { reservations_.erase(key); }
  void RemoveExpired(Time now);
  // Subtracts what is reserved for other units.
  void Subtract(const UnitKey& key, std::vector<WorkerRoom>* rooms) const;

 private:
  std::map<UnitKey, ReclaimReservation> reservations_;
};

}  // namespace turmericshift::pool
