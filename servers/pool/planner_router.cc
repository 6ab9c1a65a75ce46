#include <algorithm>
#include <functional>

#include "core/error.h"
#include "core/logging.h"
#include "servers/pool/planner_router.h"

namespace turmericshift::pool {
namespace {

constexpr size_t kRelaysTried = 2;
constexpr Duration kRelayLimit = std::chrono::milliseconds(300);
// After the straight way has failed it is left alone for so long.
constexpr Duration kStraightAgainAfter = std::chrono::seconds(3);

}  // namespace

std::vector<EntryRecord> RelayCandidates(const PlannerRecord& planner,
                                         const std::map<std::string, EntryRecord>& entries,
                                         const std::string& zone, const std::string& self) {
  const auto planner_entry = entries.find(planner.node);
  const std::string far_zone = planner_entry == entries.end() ? "" : planner_entry->second.zone;
  std::vector<EntryRecord> thirds;
  std::vector<EntryRecord> others;
  for (const auto& [node, entry] : entries) {
    if (node == self || node == planner.node) continue;
    (entry.zone != zone && entry.zone != far_zone ? thirds : others).push_back(entry);
  }
  const size_t first = std::hash<std::string>()(self);
  for (std::vector<EntryRecord>* list : {&thirds, &others}) {
    if (list->empty()) continue;
    const auto middle = static_cast<std::ptrdiff_t>(first % list->size());
    std::rotate(list->begin(), list->begin() + middle, list->end());
  }
  thirds.insert(thirds.end(), others.begin(), others.end());
  return thirds;
}

PlannerRouter::PlannerRouter(const std::string& node, const std::string& zone,
                             const MembersView* members, PlannerConnector* connector)
    : node_(node), zone_(zone), members_(members), connector_(connector) {}

bool PlannerRouter::StraightWasSilent(const PlannerRecord& planner, Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return planner.epoch == silent_epoch_ && now - silent_at_ < kStraightAgainAfter;
}

std::shared_ptr<PlannerClient> PlannerRouter::Connect(const PlannerRecord& planner, Duration limit,
                                                      Time now) {
  if (StraightWasSilent(planner, now)) {
    try {
      return ConnectThroughOthers(planner, limit);
    } catch (const Error& error) {
      LogEvent(LogLevel::kInfo, "relays_failed",
               {{"epoch", planner.epoch}, {"error", error.what()}});
    }
  }
  try {
    return connector_->Connect(planner.address, limit);
  } catch (const Error& error) {
    // A VM that refuses is reached; its process is not there for anybody.
    if (error.kind() != ErrorKind::kDeadlineExceeded) throw;
    LogEvent(LogLevel::kInfo, "planner_silent",
             {{"epoch", planner.epoch}, {"address", planner.address}, {"error", error.what()}});
    const std::lock_guard<std::mutex> lock(mutex_);
    silent_epoch_ = planner.epoch;
    silent_at_ = now;
  }
  return ConnectThroughOthers(planner, limit);
}

std::shared_ptr<PlannerClient> PlannerRouter::ConnectThroughOthers(const PlannerRecord& planner,
                                                                   Duration limit) {
  std::vector<EntryRecord> relays = RelayCandidates(planner, members_->entries(), zone_, node_);
  if (relays.size() > kRelaysTried) relays.resize(kRelaysTried);
  std::string failure = "no entry is known that might reach the planner";
  for (const EntryRecord& relay : relays) {
    // Most silent planners are gone, and followed within two seconds.
    if (members_->planner().epoch > planner.epoch) break;
    try {
      std::shared_ptr<PlannerClient> port =
          connector_->ConnectThrough(relay.address, planner.epoch, std::min(limit, kRelayLimit));
      LogEvent(LogLevel::kInfo, "planner_reached_through",
               {{"epoch", planner.epoch}, {"relay", relay.node}});
      return port;
    } catch (const Error& error) {
      failure = relay.node + ": " + error.what();
    }
  }
  throw Error(ErrorKind::kUnavailable, Outcome::kNotRun, failure);
}

}  // namespace turmericshift::pool
