#include "servers/pool/queue_log.h"

#include <string>
#include <vector>

#include "core/logging.h"

namespace turmericshift::pool {
namespace {

constexpr Duration kLogInterval = std::chrono::seconds(1);

}  // namespace

bool QueueLog::IsDue(Time now) const { return !logged_at_ || now - *logged_at_ >= kLogInterval; }

void QueueLog::Log(const QueueSnapshot& snapshot, Time now) {
  logged_at_ = now;
  std::vector<std::string> waiting;
  waiting.reserve(snapshot.waiting.size());
  for (const auto& [priority, count] : snapshot.waiting) {
    waiting.push_back(std::to_string(priority) + ":" + std::to_string(count));
  }
  LogEvent(LogLevel::kInfo, "queue",
           {{"waiting", waiting},
            {"late_s", Seconds(snapshot.lag)},
            {"starts_under_way", snapshot.starts_in_flight},
            {"workers", snapshot.workers},
            {"accelerators", snapshot.room.total.accelerators},
            {"accelerators_free", snapshot.room.free.accelerators},
            {"processor_millis", snapshot.room.total.processor_millis},
            {"processor_millis_free", snapshot.room.free.processor_millis},
            {"epoch", snapshot.epoch}});
}

}  // namespace turmericshift::pool
