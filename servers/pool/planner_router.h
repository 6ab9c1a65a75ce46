// The way to the planner: straight, or by way of an entry in a third zone.
//
// Load pattern: two zones that can't reach each other while a third reaches both. The planner is on
// the far side for a part of the agents and entries, whose leases would run out although a path
// exists.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "servers/pool/planner_gate.h"
#include "servers/pool/pool_view.h"

namespace turmericshift::pool {

// Entries that may reach a planner which `self` in `zone` can't, the likeliest first: those of
// third zones. Nodes start at different places of the list, so that they spread over the entries.
std::vector<EntryRecord> RelayCandidates(const PlannerRecord& planner,
                                         const std::map<std::string, EntryRecord>& entries,
                                         const std::string& zone, const std::string& self);

class PlannerRouter {
 public:
  // `members` must outlive it.
  PlannerRouter(const std::string& node, const std::string& zone, const MembersView* members,
                PlannerConnector* connector);

  // Other entries are asked where the planner's address is silent, not where it refuses. Takes some
  // twice `limit` at most. Throws Error(kUnavailable) when neither way leads there.
  std::shared_ptr<PlannerClient> Connect(const PlannerRecord& planner, Duration limit, Time now);

 private:
  std::shared_ptr<PlannerClient> ConnectThroughOthers(const PlannerRecord& planner, Duration limit);
  bool StraightWasSilent(const PlannerRecord& planner, Time now) const;

  const std::string node_;
  const std::string zone_;
  const MembersView* const members_;
  PlannerConnector* const connector_;
  mutable std::mutex mutex_;
  // The newest planner to which the straight way was silent, and when that was tried.
  int64_t silent_epoch_ = 0;
  Time silent_at_{};
};

}  // namespace turmericshift::pool
