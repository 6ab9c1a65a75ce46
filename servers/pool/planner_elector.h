// Decides when this entry takes the planner's duty over, and keeps it in step with the store.
//
// The duty is one conditional append: it names the next epoch and holds only if the work topic ends
// where this entry has read to, so that the new planner knows every job, and of two claims one
// fails. From then on the store refuses the planner before.
#pragma once

#include <atomic>
#include <set>
#include <string>
#include <vector>

#include "core/thread.h"
#include "servers/pool/planner_service.h"
#include "servers/pool/planning_capacity.h"
#include "servers/pool/pool_view.h"

namespace turmericshift::pool {

struct ElectorOptions {
  std::string node;
  // Where agents and entries open sessions to this entry, "ip:port".
  std::string address;
  std::string zone;
  // What this entry's VM can carry; see planning_capacity.h.
  int planning_capacity = kUnlimitedCapacity;
  // A planner that has written nothing for so long is taken for gone. It writes every 0.25 s, and a
  // slow store takes up to 0.4 s for each append and as much for the read that shows it.
  Duration silence = std::chrono::milliseconds(1200);
  // Entries wait apart from each other by up to this, so that seldom two claim at once.
  Duration spread = std::chrono::milliseconds(200);
  // Entries with a VM that is better for this pool have so much time to claim before this one.
  Duration head_start = std::chrono::milliseconds(600);
  // A planner on a weak VM looks this often for a better one that takes the duty over.
  Duration offer_every = std::chrono::seconds(1);
  // A claim rests on a view that is no older than this.
  Duration view_limit = std::chrono::milliseconds(1500);
  // Agents that have not been heard for so long are no longer waited for by a successor,
  Duration forget_agents_after = std::chrono::seconds(6);
  // but only once this planner has held the duty for so long: until then an agent may still obey
  // the planner before.
  Duration forget_agents_not_before = std::chrono::seconds(16);
};

// Whether an entry whose view is `duty` claims at `now`. `since`: from when on the entry has been
// in touch with the store without a gap. `patience`: silence to wait for, with this entry's share
// of the spread. `head_start`: what others have before this one claims.
bool ShouldClaim(const LeadershipView& duty, Time since, Duration patience, Duration view_limit,
                 Time now, Duration head_start = Duration::zero());

class PlannerElector {
 public:
  PlannerElector(const ElectorOptions& options, KeyedLog* log, WorkView* work,
                 const MembersView* members, PlannerConnector* connector, PlannerService* service);
  ~PlannerElector();
  PlannerElector(const PlannerElector&) = delete;
  PlannerElector& operator=(const PlannerElector&) = delete;

  // Claims no more; call before the planner gives the duty up.
  void Leave() { leaving_.store(true); }

 private:
  void Run();
  bool Wants(const LeadershipView& duty, Time now) const;
  // Entries whose VMs would carry the pool better than this one, the best first.
  std::vector<EntryRecord> BetterEntries() const;
  // Has this entry stand in the store's list of members.
  void EnsureListed(Time now);
  // Gives the duty up in order if a better entry takes it over.
  void OfferDuty(Time now);
  // Agents that may have something running, as the store has them now. Throws
  // Error(kLogUnavailable).
  std::set<std::string> ReadAgents() const;
  void Claim(Time now);
  // Tells agents where the planner is, until it is in the store.
  void Announce();
  void ForgetSilentAgents(Time now);
  // Tells the planner before that it has been followed, so that it plans no more. Without its word
  // inherited work has to wait for as long as an unconfirmed planner may be obeyed, some 15 s; with
  // it for a lease, 5 s, or until all agents have come over.
  void TellPredecessor();

  const ElectorOptions options_;
  const Duration patience_;
  KeyedLog* const log_;
  WorkView* const work_;
  const MembersView* const members_;
  PlannerConnector* const connector_;
  PlannerService* const service_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> leaving_{false};
  int64_t announced_epoch_ = 0;
  // An epoch that the store refused as too low although nothing newer could be read.
  int64_t refused_epoch_ = 0;
  Time in_touch_since_{};
  Time agents_checked_{};
  Time listed_checked_{};
  Time offered_{};
  Time duty_since_{};
  // The planner before, until it is known to plan no more.
  std::optional<PlannerRecord> predecessor_;
  // That it can't be told has been logged.
  bool silence_logged_ = false;
  Thread thread_;
};

}  // namespace turmericshift::pool
