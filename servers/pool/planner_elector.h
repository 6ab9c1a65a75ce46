// Leader election among the entries of a pool: decides when this entry becomes the active planner,
// and keeps the leadership in step with the store.
//
// An entry becomes leader by one conditional append. It contains the next epoch and succeeds only
// if the work topic ends at the offset this entry has read to, so the new planner knows every job
// and only one of two concurrent claims succeeds. From then on the store rejects appends of the
// previous planner (fencing by epoch).
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/thread.h"
#include "servers/membership/planning_capacity.h"
#include "servers/membership/standby.h"
#include "servers/pool/planner_service.h"
#include "servers/pool/pool_view.h"

namespace turmericshift::pool {

struct ElectorOptions {
  // Called several times a second with the epoch of the newest planner that the store shows.
  std::function<void(int64_t newest_epoch, Time now)> on_leadership;
  std::string node;
  // Address at which agents and entries open sessions to this entry, "ip:port".
  std::string address;
  std::string zone;
  // Number of agents that this entry's VM can plan for; see planning_capacity.h.
  int planning_capacity = membership::kUnlimitedCapacity;
  // A planner that has written nothing for this long is considered failed. A planner writes every
  // 0.25 s; a slow store takes up to 0.4 s for an append and as much for the read that returns it.
  Duration silence_timeout = std::chrono::milliseconds(1200);
  // Upper bound of the per-entry jitter added to the silence time-out, which makes simultaneous
  // claims unlikely.
  Duration claim_jitter = std::chrono::milliseconds(200);
  // Additional delay before this entry claims the leadership while entries with better suited VMs
  // exist.
  Duration claim_delay = std::chrono::milliseconds(600);
  // How often a planner on a weak VM looks for a better suited entry that can take over.
  Duration offer_interval = std::chrono::seconds(1);
  // A planner whose appends the store has rejected for this long asks standbys to take over.
  Duration rejection_limit = std::chrono::milliseconds(250);
  // Maximum age of the view on which a claim may be based.
  Duration max_view_age = std::chrono::milliseconds(1500);
  // Agents from which nothing has been received for this long are removed from the members, so that
  // a successor does not wait for them.
  Duration agent_silence_limit = std::chrono::seconds(6);
  // No agent is removed before this planner has been active for this long: until then an agent may
  // still follow the previous planner.
  Duration agent_forget_grace_period = std::chrono::seconds(16);
};

// Returns whether an entry with this `view` claims the leadership at `now`. `since`: start of the
// entry's uninterrupted contact with the store. `silence_timeout`: includes the entry's jitter.
// `claim_delay`: head start for better suited entries.
bool ShouldClaim(const LeadershipView& view, Time since, Duration silence_timeout,
                 Duration max_view_age, Time now, Duration claim_delay = Duration::zero());

// Returns the planners that may still grant leases when a process of `node` takes over from the
// planner of `record`: that planner, unless it has released the leadership, and those that it was
// waiting for. A process of `node` itself has ended or is not active.
std::vector<PlannerRecord> FormerPlanners(const PlannerRecord& record, const std::string& node);
// Whether one of these planners, or the planner of `record`, is a process of `node`.
bool NamesPlannerOf(const PlannerRecord& record, const std::string& node);

class PlannerElector {
 public:
  PlannerElector(const ElectorOptions& options, KeyedLog* log, const PoolViews& views,
                 PlannerConnector* connector, PlannerService* service);
  ~PlannerElector();
  PlannerElector(const PlannerElector&) = delete;
  PlannerElector& operator=(const PlannerElector&) = delete;

  // Stops claiming. Must be called before the planner releases the leadership.
  void Leave() { leaving_.store(true); }

 private:
  void Run();
  bool ShouldClaimNow(const LeadershipView& leadership, Time now) const;
  // Entries whose VMs are better suited to the pool than this one, best first.
  std::vector<EntryRecord> BetterSuitedEntries() const;
  // Keeps the views as close to the store as this entry's part in the leadership requires. Returns
  // whether the work topic is followed closely.
  bool FollowTopics(const LeadershipView& leadership, Time now);
  // This entry's record in the members topic.
  EntryRecord OwnEntry() const;
  // Registers this entry in the members topic if it is missing there.
  void EnsureListed(Time now);
  // Releases the leadership if a better suited entry accepts it.
  void OfferLeadership(Time now);
  // Asks standbys to take over while the store rejects this planner's appends and serves others.
  void AskForTakeover(Time now);
  // Reads from the store the nodes of all agents whose workers may have runs. Throws
  // Error(kLogUnavailable).
  std::set<std::string> ReadAgents() const;
  void Claim(Time now);
  // Writes this planner's address to the planner topic, where agents look it up, and to the members
  // topic, whose end then tells which agents this planner has to know of. Tried again with each
  // call until both have succeeded.
  void Announce();
  // Returns whether the topic contains the announcement, or a newer one.
  bool AnnounceIn(const char* topic, const PlannerRecord& self);
  // Announces this planner again where a record of another writer stands in place of its
  // announcement; see planner_elector.cc.
  void CheckAnnouncements(const LeadershipView& leadership, Time now);
  // Looks for such records.
  void FindForeignAnnouncements(Time now);
  bool IsAnnouncedIn(const KeyedPage& page) const;
  void ReplaceForeignAnnouncement(const char* topic, const PlannerRecord& self);
  // This planner's record with the entries that may relay.
  PlannerRecord SelfWithRelays() const;
  void RemoveSilentAgents(Time now);
  // Notifies the former planners that they have been succeeded, so that they step down. Unless all
  // of them confirm, inherited work has to wait for as long as agents may still follow one of them,
  // about 15 s. If they confirm, the wait is one lease (5 s), or ends when all agents have reported
  // to this planner.
  void NotifyPredecessors(Time now);
  // Asks a former planner to step down. Returns whether it has.
  bool StepsDown(const PlannerRecord& former);
  PlannerRecord Self(int64_t epoch) const { return {epoch, options_.node, options_.address}; }

  const ElectorOptions options_;
  const Duration silence_timeout_;
  KeyedLog* const log_;
  WorkView* const work_;
  OperatorView* const operators_;
  MembersView* const members_;
  PlannerConnector* const connector_;
  PlannerService* const service_;
  std::atomic<bool> stopping_{false};
  const Time started_at_;
  std::atomic<bool> leaving_{false};
  // Rank among the listed entries of the zone; see membership/standby.h.
  size_t rank_ = 0;
  // A record in place of this planner's announcement, as read at `read_at` from a topic that ended
  // at `end`.
  struct ForeignAnnouncement {
    Offset end = kNoOffset;
    Time read_at{};
  };
  struct Announcement {
    // Epoch that the topic contains an announcement of.
    int64_t epoch = 0;
    Offset offset = kNoOffset;
    std::optional<ForeignAnnouncement> foreign;
  };
  // By topic.
  std::map<std::string, Announcement> announcements_;
  // When the planner topic was last read.
  Time announcement_checked_at_{};
  // Epoch that the store rejected as too low although no newer one could be read.
  int64_t rejected_epoch_ = 0;
  Time connected_since_{};
  Time agents_checked_at_{};
  // Whether the outcome of the newest removal of agents is unknown.
  bool removal_unresolved_ = false;
  Time listed_checked_at_{};
  Time last_offer_at_{};
  // Number of standbys asked to take over.
  size_t takeovers_asked_ = 0;
  Time active_since_{};
  // Former planners that are not known to have stepped down.
  std::vector<PlannerRecord> predecessors_;
  // Whether former planners may still grant leases.
  bool waiting_for_predecessors_ = false;
  // Whether it has been logged that a former planner can't be reached.
  bool unreachable_logged_ = false;
  Thread thread_;
};

}  // namespace turmericshift::pool
