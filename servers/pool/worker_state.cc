#include "servers/pool/worker_state.h"

#include <algorithm>
#include <array>

namespace turmericshift::pool {
namespace {

// An agent that has not reported for this long gets no new work. Agents poll every second, so two
// polls were lost.
constexpr Duration kReportTimeout = std::chrono::milliseconds(2200);

struct PhaseName {
  RunPhase phase;
  const char* name;
};

constexpr std::array<PhaseName, 4> kPhaseNames = {{
    {RunPhase::kOrdered, "ordered"},
    {RunPhase::kUncertain, "uncertain"},
    {RunPhase::kRunning, "running"},
    {RunPhase::kStopping, "stopping"},
}};

}  // namespace

const char* RunPhaseName(RunPhase phase) {
  for (const PhaseName& row : kPhaseNames) {
    if (row.phase == phase) return row.name;
  }
  return "";
}

Room WorkerState::free() const {
  Room room = facts.capacity;
  for (const auto& [id, run] : live) {
    room -= run.need;
    if (run.best_effort) room.processor_millis += run.need.processor_millis;
  }
  return room;
}

bool WorkerState::usable(Time now) const {
  return listed && lists_received && !facts.id.empty() && facts.reachable && !facts.draining &&
         now - last_report < kReportTimeout;
}

Time WorkerState::AllLeasesUntil(Duration longest_lease) const {
  Time until = std::max({lease_until, former_lease_until, reported_lease_until});
  for (const auto& [id, run] : live) {
    if (run.start_until) until = std::max(until, *run.start_until + longest_lease);
  }
  return until;
}

}  // namespace turmericshift::pool
