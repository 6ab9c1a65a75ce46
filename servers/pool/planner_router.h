// Connects to the planner directly or, if that path is down, through an entry in a third zone.
//
// Load pattern: two zones can't reach each other while a third zone reaches both. Agents and
// entries on the far side of the planner would lose their leases although a path exists.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "servers/membership/planner_hints.h"
#include "servers/pool/planner_gate.h"
#include "servers/pool/pool_view.h"

namespace turmericshift::pool {

// Returns the entries that may reach a planner which `self` in `zone` can't reach, most likely
// first: those in neither zone. Each node starts at a different place of the list, which spreads
// the load over the entries.
std::vector<EntryRecord> RelayCandidates(const PlannerRecord& planner,
                                         const std::map<std::string, EntryRecord>& entries,
                                         const std::string& zone, const std::string& self);

class PlannerRouter {
 public:
  // Returns the epoch of the newest planner in the store.
  using NewestEpoch = std::function<int64_t()>;

  // `members` must outlive it. It is read only if a planner's record names no relays.
  PlannerRouter(const std::string& node, const std::string& zone, MembersView* members,
                NewestEpoch newest_epoch, PlannerConnector* connector);

  // Connects directly, or through other entries if the planner's address does not answer; a refused
  // connection is not retried through others. Takes about twice `limit` at most. Throws
  // Error(kUnavailable) if neither path works.
  std::shared_ptr<PlannerClient> Connect(const PlannerRecord& planner, Duration limit, Time now);

  // Asks the process behind `client`, which has refused a call, which planner it knows of. Returns
  // whether it names a newer one than was known before. Takes at most `limit`.
  bool AskFormerPlanner(PlannerClient* client, Duration limit, Time now);
  // Asks standbys which planner they know of, for a process that can't read the store; not more
  // often than each 0.3 s. Takes at most `limit`.
  void AskStandbys(Duration limit, Time now);
  // Returns the newer of `recorded` and the planner that others have named; see PlannerHints.
  PlannerRecord Newest(const PlannerRecord& recorded, const Freshness& freshness) {
    return hints_.Newest(recorded, freshness.requested_at);
  }

 private:
  // Entries that may relay, by node: those that the planner's record names, or else all.
  std::map<std::string, EntryRecord> RelaysFor(const PlannerRecord& planner);
  std::shared_ptr<PlannerClient> ConnectThroughRelays(const PlannerRecord& planner, Duration limit);
  bool DirectPathTimedOut(const PlannerRecord& planner, Time now) const;

  const std::string node_;
  const std::string zone_;
  MembersView* const members_;
  const NewestEpoch newest_epoch_;
  PlannerConnector* const connector_;
  membership::PlannerHints hints_;
  mutable std::mutex mutex_;
  // When standbys were asked last, and how many have been asked so far.
  Time standbys_asked_at_{};
  size_t standbys_asked_ = 0;
  // Epoch of the newest planner for which the direct path timed out, and when it did.
  int64_t timed_out_epoch_ = 0;
  Time timed_out_at_{};
};

}  // namespace turmericshift::pool
