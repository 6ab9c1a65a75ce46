#include "servers/pool/planner_router.h"

#include <algorithm>
#include <functional>

#include "core/error.h"
#include "core/logging.h"
#include "servers/membership/standby.h"

namespace turmericshift::pool {
namespace {

constexpr size_t kMaxRelayAttempts = 2;
constexpr Duration kMaxEntriesAge = std::chrono::seconds(10);
constexpr Duration kEntriesReadTimeout = std::chrono::milliseconds(400);
constexpr Duration kRelayTimeout = std::chrono::milliseconds(300);
// After a time-out the direct path is not tried again for this long.
constexpr Duration kDirectRetryInterval = std::chrono::seconds(3);

// Standbys are asked in turn, two at a time, since some of them may be out of reach as well.
constexpr size_t kStandbysPerQuestion = 2;
constexpr Duration kQuestionInterval = std::chrono::milliseconds(300);
constexpr Duration kQuestionTimeout = std::chrono::milliseconds(150);

}  // namespace

std::vector<EntryRecord> RelayCandidates(const PlannerRecord& planner,
                                         const std::map<std::string, EntryRecord>& entries,
                                         const std::string& zone, const std::string& self) {
  const auto planner_entry = entries.find(planner.node);
  const std::string planner_zone = planner_entry == entries.end() ? "" : planner_entry->second.zone;
  std::vector<EntryRecord> third_zones;
  std::vector<EntryRecord> others;
  for (const auto& [node, entry] : entries) {
    if (node == self || node == planner.node) continue;
    (entry.zone != zone && entry.zone != planner_zone ? third_zones : others).push_back(entry);
  }
  const size_t first = std::hash<std::string>()(self);
  for (std::vector<EntryRecord>* list : {&third_zones, &others}) {
    if (list->empty()) continue;
    const auto middle = static_cast<std::ptrdiff_t>(first % list->size());
    std::rotate(list->begin(), list->begin() + middle, list->end());
  }
  third_zones.insert(third_zones.end(), others.begin(), others.end());
  return third_zones;
}

PlannerRouter::PlannerRouter(const std::string& node, const std::string& zone, MembersView* members,
                             NewestEpoch newest_epoch, PlannerConnector* connector)
    : node_(node),
      zone_(zone),
      members_(members),
      newest_epoch_(std::move(newest_epoch)),
      connector_(connector) {}

bool PlannerRouter::DirectPathTimedOut(const PlannerRecord& planner, Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return planner.epoch == timed_out_epoch_ && now - timed_out_at_ < kDirectRetryInterval;
}

std::shared_ptr<PlannerClient> PlannerRouter::Connect(const PlannerRecord& planner, Duration limit,
                                                      Time now) {
  if (DirectPathTimedOut(planner, now)) {
    try {
      return ConnectThroughRelays(planner, limit);
    } catch (const Error& error) {
      LogEvent(LogLevel::kInfo, "relays_failed",
               {{"epoch", planner.epoch}, {"error", error.what()}});
    }
  }
  try {
    return connector_->Connect(planner.address, limit);
  } catch (const Error& error) {
    // A refused connection shows that the VM is reachable but its planner process has ended, so a
    // relay can't help.
    if (error.kind() != ErrorKind::kDeadlineExceeded) throw;
    LogEvent(LogLevel::kInfo, "planner_silent",
             {{"epoch", planner.epoch}, {"address", planner.address}, {"error", error.what()}});
    const std::lock_guard<std::mutex> lock(mutex_);
    timed_out_epoch_ = planner.epoch;
    timed_out_at_ = now;
  }
  return ConnectThroughRelays(planner, limit);
}

bool PlannerRouter::AskFormerPlanner(PlannerClient* client, Duration limit, Time now) {
  try {
    return hints_.Learn(client->KnownPlanner(std::min(limit, kQuestionTimeout)), now);
  } catch (const Error& error) {
    LogEvent(LogLevel::kInfo, "planner_not_named", {{"error", error.what()}});
    return false;
  }
}

void PlannerRouter::AskStandbys(Duration limit, Time now) {
  size_t first = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (now - standbys_asked_at_ < kQuestionInterval) return;
    standbys_asked_at_ = now;
    first = standbys_asked_;
    standbys_asked_ += kStandbysPerQuestion;
  }
  std::vector<EntryRecord> standbys = membership::Standbys(members_->entries());
  std::erase_if(standbys, [this](const EntryRecord& each) { return each.node == node_; });
  const Duration timeout =
      std::min<Duration>(limit / static_cast<int64_t>(2 * kStandbysPerQuestion), kQuestionTimeout);
  for (size_t i = 0; i < std::min(kStandbysPerQuestion, standbys.size()); ++i) {
    const EntryRecord& standby = standbys[(first + i) % standbys.size()];
    try {
      const std::shared_ptr<PlannerClient> client = connector_->Connect(standby.address, timeout);
      if (hints_.Learn(client->KnownPlanner(timeout), now)) return;
    } catch (const Error& error) {
      LogEvent(LogLevel::kInfo, "planner_not_named",
               {{"node", standby.node}, {"error", error.what()}});
    }
  }
}

std::map<std::string, EntryRecord> PlannerRouter::RelaysFor(const PlannerRecord& planner) {
  if (planner.relays.empty()) {
    members_->Refresh(kMaxEntriesAge, kEntriesReadTimeout, LeaseClock().Now());
    return members_->entries();
  }
  std::map<std::string, EntryRecord> relays;
  for (const EntryRecord& relay : planner.relays) relays[relay.node] = relay;
  return relays;
}

std::shared_ptr<PlannerClient> PlannerRouter::ConnectThroughRelays(const PlannerRecord& planner,
                                                                   Duration limit) {
  // Most planners that time out have failed and are succeeded within two seconds.
  if (newest_epoch_() > planner.epoch) {
    throw Error(ErrorKind::kUnavailable, Outcome::kNotRun, "the planner has been replaced");
  }
  std::vector<EntryRecord> relays = RelayCandidates(planner, RelaysFor(planner), zone_, node_);
  if (relays.size() > kMaxRelayAttempts) relays.resize(kMaxRelayAttempts);
  std::string failure = "no entry is known that might reach the planner";
  for (const EntryRecord& relay : relays) {
    if (newest_epoch_() > planner.epoch) break;
    try {
      std::shared_ptr<PlannerClient> port =
          connector_->ConnectThrough(relay.address, planner, std::min(limit, kRelayTimeout));
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
