#include "servers/pool/planner_elector.h"

#include <algorithm>
#include <functional>
#include <string>
#include <thread>

#include "core/logging.h"
#include "core/secret.h"
#include "servers/pool/worker_fence.h"

namespace turmericshift::pool {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr Duration kClaimTimeout = std::chrono::milliseconds(1200);
constexpr Duration kCallTimeout = std::chrono::milliseconds(300);
constexpr Duration kAgentCheckInterval = std::chrono::seconds(5);
// How often a removal of agents is repeated until the store has answered.
constexpr Duration kRemovalRetryInterval = std::chrono::seconds(1);
// Agents that look for the planner meanwhile are without one for this long, and their leases last
// four times as long.
constexpr Duration kAnnouncementCheckInterval = std::chrono::seconds(1);
constexpr Duration kListedCheckInterval = std::chrono::seconds(2);
// The members topic is read every 10 s while this entry does not plan.
constexpr Duration kMaxMembersAge = std::chrono::seconds(15);
// How long a topic is followed closely after the last reason for it.
constexpr Duration kCloseFollowPeriod = std::chrono::seconds(1);
// All entries register within this time after a start of the whole system.
constexpr Duration kStartPeriod = std::chrono::seconds(3);
// A planner does not hand over its leadership earlier than this. All agents have switched to the
// new planner by then.
constexpr Duration kMinLeadershipBeforeOffer = std::chrono::seconds(1);
constexpr Duration kOfferTimeout = std::chrono::milliseconds(150);
constexpr size_t kMaxOffersPerRound = 2;
constexpr size_t kTakeoverRequestsPerRound = 4;
// A standby that agrees may find that the store rejects it as well.
constexpr size_t kTakeoversPerRound = 2;

// This entry's share of the claim jitter: constant over time, different between entries.
Duration JitterOf(const std::string& node, Duration claim_jitter) {
  constexpr size_t kSteps = 8;
  return claim_jitter * static_cast<int64_t>(std::hash<std::string>()(node) % kSteps) /
         static_cast<int64_t>(kSteps);
}

// First sequence number of a claim. Two entries that claim the same epoch concurrently must not use
// the same number: the store would treat the second claim as a retry of the first and return the
// same answer, so that both would consider themselves leader. The symptom is two planners with one
// epoch, and lost jobs of one of them.
int64_t RandomSequence() {
  constexpr size_t kBytes = 4;
  return std::stoll(RandomHex(kBytes), nullptr, 16) + 1;
}

// Epoch that a claim has to exceed according to the record, 0 if none could: then another writer
// has put it there, and the store refuses claims that are too low.
int64_t RecordedEpoch(const PlannerRecord& recorded) {
  const bool has_successor =
      recorded.epoch > 0 && recorded.epoch < membership::kEpochLimit - kFencesPerEpoch;
  return has_successor ? recorded.epoch : 0;
}

}  // namespace

bool ShouldClaim(const LeadershipView& view, Time since, Duration silence_timeout,
                 Duration max_view_age, Time now, Duration claim_delay) {
  if (!view.freshness.within(max_view_age, now)) return false;
  // Silence counts only while this entry was able to read the store.
  const Duration silence = now - std::max(view.newest_record_at.value_or(since), since);
  // There has never been a planner, or the last one has released the leadership.
  if (view.planner.address.empty() || !view.newest_record_at) return silence >= claim_delay;
  return silence > silence_timeout + claim_delay;
}

std::vector<PlannerRecord> FormerPlanners(const PlannerRecord& record, const std::string& node) {
  std::vector<PlannerRecord> former = record.former;
  if (!record.address.empty()) former.push_back({record.epoch, record.node, record.address});
  std::erase_if(former, [&](const PlannerRecord& each) { return each.node == node; });
  return former;
}

bool NamesPlannerOf(const PlannerRecord& record, const std::string& node) {
  if (!record.address.empty() && record.node == node) return true;
  return std::any_of(record.former.begin(), record.former.end(),
                     [&](const PlannerRecord& each) { return each.node == node; });
}

PlannerElector::PlannerElector(const ElectorOptions& options, KeyedLog* log, const PoolViews& views,
                               PlannerConnector* connector, PlannerService* service)
    : options_(options),
      silence_timeout_(options.silence_timeout + JitterOf(options.node, options.claim_jitter)),
      log_(log),
      work_(views.work),
      operators_(views.operators),
      members_(views.members),
      connector_(connector),
      service_(service),
      started_at_(LeaseClock().Now()),
      connected_since_(LeaseClock().Now()),
      thread_(ThreadRole::kEssential, "duty", [this] { Run(); }) {}

PlannerElector::~PlannerElector() { stopping_.store(true); }

void PlannerElector::Run() {
  while (!stopping_.load()) {
    std::this_thread::sleep_for(kTickInterval);
    const Time now = LeaseClock().Now();
    const LeadershipView leadership = work_->leadership();
    if (options_.on_leadership) options_.on_leadership(leadership.planner.epoch, now);
    // Silence can be told only from a view that is followed closely.
    const bool follows = FollowTopics(leadership, now);
    if (!follows || !leadership.freshness.within(options_.max_view_age, now)) {
      connected_since_ = now;
    }
    const bool would_claim =
        !leaving_.load() && leadership.freshness.within(options_.max_view_age, now);
    // The store may turn this VM away as well.
    const bool would_take_over = would_claim && !work_->store_lost();
    service_->SetLeadershipView(leadership.planner, would_claim, would_take_over);
    if (!leaving_.load()) EnsureListed(now);
    const int64_t epoch = service_->epoch();
    if (epoch > 0) {
      if (leadership.planner.epoch > epoch) service_->StepDown("a newer planner is active");
      Announce();
      CheckAnnouncements(leadership, now);
      if (waiting_for_predecessors_) NotifyPredecessors(now);
      RemoveSilentAgents(now);
      OfferLeadership(now);
      AskForTakeover(now);
      continue;
    }
    if (leaving_.load()) continue;
    if (ShouldClaimNow(leadership, now)) Claim(now);
  }
}

bool PlannerElector::FollowTopics(const LeadershipView& leadership, Time now) {
  const bool planning = service_->epoch() > 0;
  if (planning || now - started_at_ < kStartPeriod) {
    members_->FollowCloselyUntil(now + kCloseFollowPeriod, now);
  }
  const bool silent =
      leadership.freshness.requested_at && leadership.newest_record_at &&
      membership::PlannerSeemsSilent(*leadership.freshness.requested_at,
                                     *leadership.newest_record_at, silence_timeout_);
  // A planner that has released the leadership has no address.
  const bool vacant = leadership.planner.address.empty();
  const bool stands_by = planning || membership::IsStandby(rank_);
  if (stands_by) operators_->FollowCloselyUntil(now + kCloseFollowPeriod, now);
  const bool follows = stands_by || silent || vacant;
  if (follows) work_->FollowCloselyUntil(now + kCloseFollowPeriod, now);
  return follows;
}

bool PlannerElector::ShouldClaimNow(const LeadershipView& leadership, Time now) const {
  if (!members_->freshness().requested_at) return false;
  // This entry has been told of a planner that it has not read of: its view is outdated.
  if (service_->Successor().epoch > leadership.planner.epoch) return false;
  // The newest record names this entry, which is not the active planner: the record is of a
  // previous process or of a claim whose answer was lost. So there is no planner, and no need to
  // wait for the time-out.
  const bool own_record =
      leadership.planner.node == options_.node && !leadership.planner.address.empty();
  if (own_record) return leadership.freshness.within(options_.max_view_age, now);
  if (service_->takeover_epoch(now) == leadership.planner.epoch && leadership.planner.epoch > 0) {
    return leadership.freshness.within(options_.max_view_age, now) && !work_->store_lost();
  }
  const Duration claim_delay =
      BetterSuitedEntries().empty() ? membership::ClaimTurn(rank_) : options_.claim_delay;
  return ShouldClaim(leadership, connected_since_, silence_timeout_, options_.max_view_age, now,
                     claim_delay);
}

std::vector<EntryRecord> PlannerElector::BetterSuitedEntries() const {
  std::vector<EntryRecord> better_suited;
  const int agents = static_cast<int>(members_->agent_count());
  if (options_.planning_capacity >= agents) return better_suited;
  for (const auto& [node, entry] : members_->entries()) {
    if (node == options_.node) continue;
    const int capacity = entry.planning_capacity;
    if (!membership::ShouldYieldTo(capacity, options_.planning_capacity, agents)) continue;
    better_suited.push_back(entry);
  }
  std::stable_sort(better_suited.begin(), better_suited.end(),
                   [](const auto& left, const auto& right) {
                     return left.planning_capacity > right.planning_capacity;
                   });
  return better_suited;
}

EntryRecord PlannerElector::OwnEntry() const {
  return {options_.node, options_.zone, options_.address, options_.planning_capacity};
}

void PlannerElector::EnsureListed(Time now) {
  if (now - listed_checked_at_ < kListedCheckInterval) return;
  if (!members_->freshness().within(kMaxMembersAge, now)) return;
  listed_checked_at_ = now;
  const EntryRecord self = OwnEntry();
  const std::map<std::string, EntryRecord> entries = members_->entries();
  work_->SetReaders(entries.size());
  rank_ = membership::RankInZone(self, entries);
  const auto listed = entries.find(options_.node);
  if (listed != entries.end() && listed->second == self) return;
  try {
    log_->Append(kMembersTopic, {{kEntryPrefix + options_.node, EncodeEntry(self), kNoOffset}}, {},
                 kCallTimeout);
    LogEvent(LogLevel::kInfo, "entry_listed",
             {{"address", self.address}, {"planning_capacity", self.planning_capacity}});
  } catch (const Error& error) {
    LogEvent(LogLevel::kWarning, "entry_not_listed", {{"error", error.what()}});
  }
}

void PlannerElector::OfferLeadership(Time now) {
  if (leaving_.load() || waiting_for_predecessors_) return;
  if (now - active_since_ < kMinLeadershipBeforeOffer) return;
  if (now - last_offer_at_ < options_.offer_interval) return;
  last_offer_at_ = now;
  std::vector<EntryRecord> better_suited = BetterSuitedEntries();
  if (better_suited.size() > kMaxOffersPerRound) better_suited.resize(kMaxOffersPerRound);
  for (const EntryRecord& entry : better_suited) {
    try {
      connector_->Connect(entry.address, kOfferTimeout)->Offer(kOfferTimeout);
    } catch (const Error& error) {
      LogEvent(LogLevel::kInfo, "duty_not_accepted",
               {{"node", entry.node}, {"error", error.what()}});
      continue;
    }
    LogEvent(LogLevel::kInfo, "duty_handed_on",
             {{"epoch", service_->epoch()},
              {"node", entry.node},
              {"planning_capacity", options_.planning_capacity},
              {"its_capacity", entry.planning_capacity},
              {"agents", members_->agent_count()}});
    service_->Release(kReleaseLimit);
    return;
  }
}

void PlannerElector::AskForTakeover(Time now) {
  const std::optional<Time> rejected_since = service_->rejected_since();
  if (!rejected_since || now - *rejected_since < options_.rejection_limit) return;
  std::vector<EntryRecord> standbys = membership::Standbys(members_->entries());
  std::erase_if(standbys, [this](const EntryRecord& each) { return each.node == options_.node; });
  const PlannerRecord self = Self(service_->epoch());
  size_t accepted = 0;
  for (size_t i = 0; i < std::min(kTakeoverRequestsPerRound, standbys.size()); ++i) {
    const EntryRecord& standby = standbys[takeovers_asked_++ % standbys.size()];
    try {
      connector_->Connect(standby.address, kOfferTimeout)->TakeOver(self, kOfferTimeout);
    } catch (const Error& error) {
      LogEvent(LogLevel::kInfo, "takeover_refused",
               {{"node", standby.node}, {"error", error.what()}});
      continue;
    }
    LogEvent(LogLevel::kInfo, "takeover_accepted",
             {{"epoch", self.epoch},
              {"node", standby.node},
              {"rejected_s", Seconds(now - *rejected_since)}});
    if (++accepted == kTakeoversPerRound) return;
  }
}

void PlannerElector::Claim(Time now) {
  LeadershipView basis;
  const JobTable table = work_->table(&basis);
  // Another entry's claim may have been read since the last check. A claim on top of it would
  // succeed, being based on the newest view, and depose a planner that has just started. The
  // symptom is two planners within one tick, and callers that are told "unknown" twice.
  if (!ShouldClaimNow(basis, now)) return;
  const int64_t recorded_epoch = RecordedEpoch(table.planner());
  const int64_t epoch = NextEpoch(std::max(recorded_epoch, rejected_epoch_));
  const int64_t sequence = RandomSequence();
  PlannerRecord record = Self(epoch);
  record.former = FormerPlanners(table.planner(), options_.node);
  // The store has seen a planner that the record does not name.
  if (rejected_epoch_ > recorded_epoch) record.former.push_back({rejected_epoch_, "", ""});
  std::set<std::string> agents;
  try {
    log_->Append(kWorkTopic, {{kPlannerKey, EncodePlanner(record), kNoOffset}},
                 {basis.end, kPlannerProducer, epoch, sequence}, kClaimTimeout);
    agents = ReadAgents();
  } catch (const Error& error) {
    // Without a recorded epoch, a conflict may be with the sequence numbers of a planner of
    // `epoch`.
    const bool may_be_taken = error.kind() == ErrorKind::kConflict && recorded_epoch == 0;
    if (error.kind() == ErrorKind::kFenced || may_be_taken) rejected_epoch_ = epoch;
    LogEvent(LogLevel::kInfo, "claim_failed",
             {{"epoch", epoch}, {"end", basis.end}, {"error", error.what()}});
    return;
  }
  active_since_ = now;
  predecessors_ = record.former;
  waiting_for_predecessors_ = true;
  unreachable_logged_ = false;
  service_->BecomeActive(epoch, sequence, table, agents, now, record.former,
                         NamesPlannerOf(table.planner(), options_.node));
  // The entry may have begun to leave during the claim, before there was a leadership to release.
  if (leaving_.load()) service_->Release(kReleaseLimit);
}

// Agents are read again after the claim, because an entry that has just started may know the jobs
// but not yet the agents. Without this the new planner would wait for no agent and immediately
// restart tasks that still run on workers it does not know. The symptom is tasks that run twice
// after all processes were killed.
std::set<std::string> PlannerElector::ReadAgents() const {
  std::set<std::string> agents = members_->agents();
  const std::string prefix = kAgentPrefix;
  std::string after;
  while (true) {
    const KeyedPage page = log_->Newest(kMembersTopic, after, kClaimTimeout);
    for (const KeyedRecord& record : page.records) {
      if (record.key.rfind(prefix, 0) == 0) agents.insert(record.key.substr(prefix.size()));
      after = record.key;
    }
    if (!page.more || page.records.empty()) return agents;
  }
}

void PlannerElector::Announce() {
  const PlannerRecord self = Self(service_->epoch());
  // First in the planner topic: an agent that has read an older planner there knows that all
  // removals of its former process are void (PoolAgent::ListedByPlanner).
  if (AnnounceIn(kPlannerTopic, SelfWithRelays())) AnnounceIn(kMembersTopic, self);
}

PlannerRecord PlannerElector::SelfWithRelays() const {
  PlannerRecord with_relays = Self(service_->epoch());
  with_relays.relays = membership::Standbys(members_->entries());
  return with_relays;
}

bool PlannerElector::AnnounceIn(const char* topic, const PlannerRecord& self) {
  Announcement& announcement = announcements_[topic];
  if (announcement.epoch >= self.epoch) return true;
  announcement.foreign.reset();
  try {
    const AppendResult result =
        log_->Append(topic, {{kPlannerKey, EncodePlanner(self), kNoOffset}},
                     {std::nullopt, kPlannerProducer, self.epoch, 1}, kClaimTimeout);
    announcement.epoch = self.epoch;
    announcement.offset = result.first;
    return true;
  } catch (const Error& error) {
    LogEvent(LogLevel::kWarning, "announce_failed",
             {{"topic", topic}, {"epoch", self.epoch}, {"error", error.what()}});
    // A newer planner has already announced itself, or another writer has used its name.
    const bool taken = error.kind() == ErrorKind::kFenced || error.kind() == ErrorKind::kConflict;
    if (taken) announcement.epoch = self.epoch;
    return announcement.epoch == self.epoch;
  }
}

// The work topic alone tells who plans, since the store accepts only the highest epoch's claims and
// appends there. A planner announces itself after its claim. So if the work topic, as read after an
// announcement, shows no newer claim, then the announcement is not a planner's. The new one holds
// only if the topic still ends where that was found, so that it can't replace the announcement of a
// planner that has claimed since. It carries no epoch, because the other writer may have used one
// above all planners'.
void PlannerElector::CheckAnnouncements(const LeadershipView& leadership, Time now) {
  const PlannerRecord self = Self(service_->epoch());
  if (self.epoch == 0 || !leadership.freshness.within(options_.max_view_age, now)) return;
  for (const char* topic : {kPlannerTopic, kMembersTopic}) {
    const Announcement& announcement = announcements_[topic];
    if (announcement.epoch != self.epoch) return;
    if (!announcement.foreign) continue;
    const bool still_plans = leadership.planner.SamePlannerAs(self) &&
                             *leadership.freshness.requested_at > announcement.foreign->read_at;
    if (!still_plans) continue;
    const bool for_agents = std::string(topic) == kPlannerTopic;
    ReplaceForeignAnnouncement(topic, for_agents ? SelfWithRelays() : self);
  }
  FindForeignAnnouncements(now);
}

void PlannerElector::FindForeignAnnouncements(Time now) {
  Announcement& listed = announcements_[kMembersTopic];
  const std::shared_ptr<const Membership> membership = members_->membership();
  const bool has_read_own = membership->end > listed.offset;
  if (!listed.foreign && has_read_own && !membership->Announces(Self(listed.epoch))) {
    listed.foreign = {membership->end, LeaseClock().Now()};
    // Whoever has written this may have written to the planner topic as well.
    announcement_checked_at_ = {};
  }
  Announcement& announced = announcements_[kPlannerTopic];
  if (announced.foreign || now - announcement_checked_at_ < kAnnouncementCheckInterval) return;
  announcement_checked_at_ = now;
  try {
    const KeyedPage page = log_->Newest(kPlannerTopic, "", kCallTimeout);
    if (!IsAnnouncedIn(page)) announced.foreign = {page.end, LeaseClock().Now()};
  } catch (const Error&) {
    // The next check is soon enough; the followers log that the store is lost.
  }
}

bool PlannerElector::IsAnnouncedIn(const KeyedPage& page) const {
  for (const KeyedRecord& record : page.records) {
    if (record.key != kPlannerKey) continue;
    try {
      return DecodePlanner(record.value).SamePlannerAs(Self(service_->epoch()));
    } catch (const Error&) {
      return false;
    }
  }
  return false;
}

void PlannerElector::ReplaceForeignAnnouncement(const char* topic, const PlannerRecord& self) {
  Announcement& announcement = announcements_[topic];
  const Offset end = announcement.foreign->end;
  announcement.foreign.reset();
  try {
    const AppendResult result = log_->Append(topic, {{kPlannerKey, EncodePlanner(self), kNoOffset}},
                                             {end, "", 0, 0}, kCallTimeout);
    announcement.offset = result.first;
    LogEvent(LogLevel::kWarning, "foreign_planner_replaced",
             {{"topic", topic}, {"epoch", self.epoch}, {"offset", result.first}});
  } catch (const Error& error) {
    LogEvent(LogLevel::kWarning, "foreign_planner_not_replaced",
             {{"topic", topic}, {"epoch", self.epoch}, {"error", error.what()}});
  }
}

void PlannerElector::NotifyPredecessors(Time now) {
  std::erase_if(predecessors_, [this](const PlannerRecord& former) { return StepsDown(former); });
  // A former process of this entry can't tell which of its starts are under way.
  if (predecessors_.empty() && now < service_->former_process_settled_at()) return;
  if (predecessors_.empty()) {
    service_->PredecessorGone();
  } else if (now - active_since_ <= options_.agent_forget_grace_period) {
    return;
  }
  predecessors_.clear();
  waiting_for_predecessors_ = false;
  // A successor of this planner need not wait for them either.
  service_->ForgetFormerPlanners(Self(service_->epoch()));
}

bool PlannerElector::StepsDown(const PlannerRecord& former) {
  if (former.address.empty()) return false;
  try {
    connector_->Connect(former.address, kCallTimeout)->Yield(Self(service_->epoch()), kCallTimeout);
  } catch (const Error& error) {
    // Only the former planner's own answer proves that it has stepped down: a refused connection
    // may also be a network failure. The call is tried ten times a second but logged only once.
    if (!unreachable_logged_) {
      LogEvent(LogLevel::kInfo, "predecessor_silent",
               {{"epoch", former.epoch}, {"node", former.node}, {"error", error.what()}});
    }
    unreachable_logged_ = true;
    return false;
  }
  LogEvent(LogLevel::kInfo, "predecessor_gone", {{"epoch", former.epoch}, {"node", former.node}});
  return true;
}

void PlannerElector::RemoveSilentAgents(Time now) {
  if (now - active_since_ < options_.agent_forget_grace_period) return;
  const Duration interval = removal_unresolved_ ? kRemovalRetryInterval : kAgentCheckInterval;
  if (now - agents_checked_at_ < interval) return;
  agents_checked_at_ = now;
  const std::optional<AgentRemoval> removal =
      service_->RemoveSilentAgents(options_.agent_silence_limit, now);
  removal_unresolved_ = false;
  if (!removal) return;
  std::vector<KeyedRecord> records;
  for (const std::string& node : removal->nodes) {
    records.push_back({kAgentPrefix + node, "", kNoOffset});
  }
  try {
    log_->Append(kMembersTopic, records, {removal->expected_end, "", 0, 0}, kClaimTimeout);
    LogEvent(LogLevel::kInfo, "agents_removed", {{"nodes", removal->nodes}});
  } catch (const Error& error) {
    removal_unresolved_ = error.kind() != ErrorKind::kConflict;
    LogEvent(LogLevel::kWarning, "agents_not_removed",
             {{"nodes", removal->nodes}, {"error", error.what()}});
  }
}

}  // namespace turmericshift::pool
