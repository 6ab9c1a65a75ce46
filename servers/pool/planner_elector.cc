#include "servers/pool/planner_elector.h"

#include <algorithm>
#include <functional>
#include <string>
#include <thread>

#include "core/logging.h"
#include "core/secret.h"

namespace turmericshift::pool {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr Duration kClaimTimeout = std::chrono::milliseconds(1200);
constexpr Duration kCallTimeout = std::chrono::milliseconds(300);
constexpr Duration kAgentCheckInterval = std::chrono::seconds(5);
constexpr Duration kListedCheckInterval = std::chrono::seconds(2);
// The list of members is waited for up to 4 s at a time.
constexpr Duration kMaxMembersAge = std::chrono::seconds(6);
// Before a planner hands the duty on: all agents have come over by then.
constexpr Duration kMinLeadershipBeforeOffer = std::chrono::seconds(1);
constexpr Duration kOfferTimeout = std::chrono::milliseconds(150);
constexpr size_t kMaxOffersPerRound = 2;

// This entry's share of the spread: the same at all times, different between entries.
Duration JitterOf(const std::string& node, Duration claim_jitter) {
  constexpr size_t kSteps = 8;
  return claim_jitter * static_cast<int64_t>(std::hash<std::string>()(node) % kSteps) /
         static_cast<int64_t>(kSteps);
}

// Two entries that claim the same epoch at once must not use the same number: the store would take
// the second claim for a repetition of the first and answer it as it answered that, so that both
// believed they had the duty. One notices by two planners of one epoch; jobs of one of them vanish.
int64_t RandomSequence() {
  constexpr size_t kBytes = 4;
  return std::stoll(RandomHex(kBytes), nullptr, 16) + 1;
}

}  // namespace

bool ShouldClaim(const LeadershipView& view, Time since, Duration silence_timeout,
                 Duration max_view_age, Time now, Duration claim_delay) {
  if (!view.freshness.within(max_view_age, now)) return false;
  // Silence counts only while this entry could have heard something.
  const Duration silence = now - std::max(view.newest_record_at.value_or(since), since);
  // Nobody has ever planned, or the last planner has said that it leaves.
  if (view.planner.address.empty() || !view.newest_record_at) return silence >= claim_delay;
  return silence > silence_timeout + claim_delay;
}

PlannerElector::PlannerElector(const ElectorOptions& options, KeyedLog* log, WorkView* work,
                               const MembersView* members, PlannerConnector* connector,
                               PlannerService* service)
    : options_(options),
      silence_timeout_(options.silence_timeout + JitterOf(options.node, options.claim_jitter)),
      log_(log),
      work_(work),
      members_(members),
      connector_(connector),
      service_(service),
      connected_since_(LeaseClock().Now()),
      thread_("duty", [this] { Run(); }) {}

PlannerElector::~PlannerElector() { stopping_.store(true); }

void PlannerElector::Run() {
  while (!stopping_.load()) {
    std::this_thread::sleep_for(kTickInterval);
    const Time now = LeaseClock().Now();
    const LeadershipView leadership = work_->leadership();
    if (!leadership.freshness.within(options_.max_view_age, now)) connected_since_ = now;
    const bool would_claim =
        !leaving_.load() && leadership.freshness.within(options_.max_view_age, now);
    service_->SetLeadershipView(leadership.planner, would_claim);
    if (!leaving_.load()) EnsureListed(now);
    const int64_t epoch = service_->epoch();
    if (epoch > 0) {
      if (leadership.planner.epoch > epoch) service_->StepDown("a newer planner has been read");
      if (announced_epoch_ < epoch) Announce();
      if (predecessor_) NotifyPredecessor();
      ForgetSilentAgents(now);
      OfferLeadership(now);
      continue;
    }
    if (leaving_.load()) continue;
    if (ShouldClaimNow(leadership, now)) Claim(now);
  }
}

bool PlannerElector::ShouldClaimNow(const LeadershipView& leadership, Time now) const {
  if (!members_->freshness().requested_at) return false;
  // A record of this entry's own that it does not act on: from a life before, or from a claim
  // whose answer was lost. Nobody plans, and nobody else need wait to find out.
  const bool own_record =
      leadership.planner.node == options_.node && !leadership.planner.address.empty();
  if (own_record) return leadership.freshness.within(options_.max_view_age, now);
  const Duration claim_delay =
      BetterSuitedEntries().empty() ? Duration::zero() : options_.claim_delay;
  return ShouldClaim(leadership, connected_since_, silence_timeout_, options_.max_view_age, now,
                     claim_delay);
}

std::vector<EntryRecord> PlannerElector::BetterSuitedEntries() const {
  std::vector<EntryRecord> better_suited;
  const int agents = static_cast<int>(members_->agent_count());
  if (options_.planning_capacity >= agents) return better_suited;
  for (const auto& [node, entry] : members_->entries()) {
    if (node == options_.node) continue;
    if (!LeavesPlanningTo(entry.planning_capacity, options_.planning_capacity, agents)) continue;
    better_suited.push_back(entry);
  }
  std::stable_sort(better_suited.begin(), better_suited.end(),
                   [](const auto& left, const auto& right) {
                     return left.planning_capacity > right.planning_capacity;
                   });
  return better_suited;
}

void PlannerElector::EnsureListed(Time now) {
  if (now - listed_checked_at_ < kListedCheckInterval) return;
  if (!members_->freshness().within(kMaxMembersAge, now)) return;
  listed_checked_at_ = now;
  const EntryRecord self = {options_.node, options_.zone, options_.address,
                            options_.planning_capacity};
  const std::map<std::string, EntryRecord> entries = members_->entries();
  work_->SetReaders(entries.size());
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
  if (leaving_.load() || predecessor_ || now - active_since_ < kMinLeadershipBeforeOffer) return;
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

void PlannerElector::Claim(Time now) {
  LeadershipView basis;
  const JobBook book = work_->book(&basis);
  // Another entry's claim may have been read since the last look. A claim on top of it would hold,
  // being made from the newest view, and end the duty of a planner that has just begun: one notices
  // by two planners within a tick and by callers that are told "unknown" twice.
  if (!ShouldClaimNow(basis, now)) return;
  const int64_t epoch = std::max(book.planner().epoch, rejected_epoch_) + 1;
  const int64_t sequence = RandomSequence();
  std::set<std::string> agents;
  try {
    log_->Append(
        kWorkTopic,
        {{kPlannerKey, EncodePlanner({epoch, options_.node, options_.address}), kNoOffset}},
        {basis.end, kPlannerProducer, epoch, sequence}, kClaimTimeout);
    agents = ReadAgents();
  } catch (const Error& error) {
    if (error.kind() == ErrorKind::kFenced) rejected_epoch_ = epoch;
    LogEvent(LogLevel::kInfo, "claim_failed",
             {{"epoch", epoch}, {"end", basis.end}, {"error", error.what()}});
    return;
  }
  active_since_ = now;
  predecessor_ = book.planner();
  unreachable_logged_ = false;
  service_->BecomeActive(epoch, sequence, book, agents, now);
}

// Read once more after the claim: an entry that has just started may know the jobs and not yet the
// agents. It would wait for nobody, and start at once what still runs on workers that it has not
// heard of; one notices by tasks that run twice after all processes were killed.
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
  const int64_t epoch = service_->epoch();
  try {
    log_->Append(
        kMembersTopic,
        {{kPlannerKey, EncodePlanner({epoch, options_.node, options_.address}), kNoOffset}},
        {std::nullopt, kPlannerProducer, epoch, 1}, kClaimTimeout);
    announced_epoch_ = epoch;
  } catch (const Error& error) {
    LogEvent(LogLevel::kWarning, "announce_failed", {{"epoch", epoch}, {"error", error.what()}});
    // A newer planner has announced itself already.
    if (error.kind() == ErrorKind::kFenced) announced_epoch_ = epoch;
  }
}

void PlannerElector::NotifyPredecessor() {
  const PlannerRecord predecessor = *predecessor_;
  // A record without an address was written by the planner as it left, one of this node by a
  // process that has ended.
  bool stepped_down = predecessor.address.empty() || predecessor.node == options_.node;
  if (!stepped_down) {
    try {
      const PlannerRecord self = {service_->epoch(), options_.node, options_.address};
      connector_->Connect(predecessor.address, kCallTimeout)->Yield(self, kCallTimeout);
      stepped_down = true;
    } catch (const Error& error) {
      // Only its own word counts: a refused connection may as well be a cut on the way.
      // It is tried ten times a second; one line says all.
      if (!unreachable_logged_) {
        LogEvent(
            LogLevel::kInfo, "predecessor_silent",
            {{"epoch", predecessor.epoch}, {"node", predecessor.node}, {"error", error.what()}});
      }
      unreachable_logged_ = true;
    }
  }
  if (stepped_down) {
    predecessor_.reset();
    service_->PredecessorGone();
    LogEvent(LogLevel::kInfo, "predecessor_gone",
             {{"epoch", predecessor.epoch}, {"node", predecessor.node}});
  } else if (LeaseClock().Now() - active_since_ > options_.agent_forget_grace_period) {
    predecessor_.reset();
  }
}

void PlannerElector::ForgetSilentAgents(Time now) {
  if (now - active_since_ < options_.agent_forget_grace_period) return;
  if (now - agents_checked_at_ < kAgentCheckInterval) return;
  agents_checked_at_ = now;
  const std::set<std::string> agents = members_->agents();
  for (const std::string& node :
       service_->UnresponsiveAgents(agents, options_.agent_silence_limit, now)) {
    try {
      log_->Append(kMembersTopic, {{kAgentPrefix + node, "", kNoOffset}}, {}, kClaimTimeout);
      LogEvent(LogLevel::kInfo, "agent_forgotten", {{"node", node}});
    } catch (const Error& error) {
      LogEvent(LogLevel::kWarning, "agent_not_forgotten",
               {{"node", node}, {"error", error.what()}});
    }
  }
}

}  // namespace turmericshift::pool
