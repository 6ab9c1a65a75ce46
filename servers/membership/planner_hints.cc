#include "servers/membership/planner_hints.h"

#include "core/logging.h"

namespace turmericshift::membership {

bool PlannerHints::Learn(const PlannerRecord& named, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (named.address.empty() || named.epoch <= named_.epoch) return false;
  named_ = named;
  named_at_ = now;
  LogEvent(LogLevel::kInfo, "planner_named",
           {{"epoch", named.epoch}, {"node", named.node}, {"address", named.address}});
  return true;
}

PlannerRecord PlannerHints::Newest(const PlannerRecord& recorded, std::optional<Time> read_at) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (named_.epoch <= recorded.epoch) return recorded;
  if (!read_at || *read_at <= named_at_) return named_;
  LogEvent(LogLevel::kWarning, "planner_hint_dropped",
           {{"epoch", named_.epoch}, {"recorded_epoch", recorded.epoch}});
  named_ = {};
  return recorded;
}

}  // namespace turmericshift::membership
