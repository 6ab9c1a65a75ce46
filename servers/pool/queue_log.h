// Logs how much work waits and how much room is free: enough to see why a job waited, without more
// log lines under load.
#pragma once

#include <map>
#include <optional>

#include "core/clock.h"
#include "servers/pool/urgent_reserve.h"

namespace turmericshift::pool {

struct QueueSnapshot {
  // Number of waiting units by priority.
  std::map<int, int> waiting;
  // Workers that may get work, and their room.
  int workers = 0;
  PoolRoom room;
  Duration lag{};
  int starts_in_flight = 0;
  int64_t epoch = 0;
};

class QueueLog {
 public:
  // Whether a line is due at `now`.
  bool IsDue(Time now) const;
  void Log(const QueueSnapshot& snapshot, Time now);

 private:
  std::optional<Time> logged_at_;
};

}  // namespace turmericshift::pool
