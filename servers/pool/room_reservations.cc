#include "servers/pool/room_reservations.h"

#include <algorithm>

namespace turmericshift::pool {
namespace {

Room ComponentMin(const Room& left, const Room& right) {
  return {std::min(left.processor_millis, right.processor_millis),
          std::min(left.memory_mib, right.memory_mib),
          std::min(left.accelerators, right.accelerators)};
}

}  // namespace

void BackfillReservations::Add(const UnitKey& key, const RoomForecast& forecast,
                               const std::vector<FutureRoom>& workers, const Room& need, Time now) {
  for (const FutureRoom& worker : workers) {
    const auto share = forecast.tasks.find(std::string(worker.now.node));
    if (share == forecast.tasks.end()) continue;
    reservations_[share->first] = {key, now + forecast.delay,
                                   SpareRoom(worker, need, share->second, forecast.delay)};
  }
}

void BackfillReservations::Subtract(const UnitKey& key, Time over_at,
                                    std::vector<WorkerRoom>* rooms) const {
  if (reservations_.empty()) return;
  for (WorkerRoom& room : *rooms) {
    const auto found = reservations_.find(std::string(room.node));
    if (found == reservations_.end() || found->second.key == key) continue;
    if (over_at > found->second.ready_at) room.free = ComponentMin(room.free, found->second.spare);
  }
}

const ReclaimReservation* ReclaimReservations::Find(const UnitKey& key) const {
  const auto found = reservations_.find(key);
  return found == reservations_.end() ? nullptr : &found->second;
}

void ReclaimReservations::Add(const UnitKey& key, ReclaimReservation reservation) {
  reservations_[key] = std::move(reservation);
}

void ReclaimReservations::RemoveExpired(Time now) {
  std::erase_if(reservations_, [now](const auto& row) { return now >= row.second.until; });
}

void ReclaimReservations::Subtract(const UnitKey& key, std::vector<WorkerRoom>* rooms) const {
  for (const auto& [owner, reservation] : reservations_) {
    if (owner == key) continue;
    for (const std::string& node : reservation.placement) {
      for (WorkerRoom& room : *rooms) {
        if (room.node == node) room.free -= reservation.need;
      }
    }
  }
}

}  // namespace turmericshift::pool
