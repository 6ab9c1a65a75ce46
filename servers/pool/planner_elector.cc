#include <algorithm>
#include <functional>
#include <string>
#include <thread>

#include "core/logging.h"
#include "core/secret.h"
#include "servers/pool/planner_elector.h"

namespace turmericshift::pool {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr Duration kClaimTimeout = std::chrono::milliseconds(1200);
constexpr Duration kAskTimeout = std::chrono::milliseconds(300);
constexpr Duration kCheckAgentsEvery = std::chrono::seconds(5);
constexpr Duration kCheckListedEvery = std::chrono::seconds(2);
// The list of members is waited for up to 4 s at a time.
constexpr Duration kMembersLimit = std::chrono::seconds(6);
// Before a planner hands the duty on: all agents have come over by then.
constexpr Duration kSettleFirst = std::chrono::seconds(1);
constexpr Duration kOfferTimeout = std::chrono::milliseconds(150);
constexpr size_t kOffersAtOnce = 2;

// This entry's share of the spread: the same at all times, different between entries.
Duration ShareOf(const std::string& node, Duration spread) {
  constexpr size_t kSteps = 8;
  return spread * static_cast<int64_t>(std::hash<std::string>()(node) % kSteps) /
         static_cast<int64_t>(kSteps);
}

// Two entries that claim the same epoch at once must not use the same number: the store would take
// the second claim for a repetition of the first and answer it as it answered that, so that both
// believed they had the duty. One notices by two planners of one epoch; jobs of one of them vanish.
int64_t FirstSequence() {
  constexpr size_t kBytes = 4;
  return std::stoll(RandomHex(kBytes), nullptr, 16) + 1;
}

}  // namespace

bool ShouldClaim(const LeadershipView& duty, Time since, Duration patience, Duration view_limit,
                 Time now, Duration head_start) {
  if (!duty.freshness.within(view_limit, now)) return false;
  // Silence counts only while this entry could have heard something.
  const Duration silence = now - std::max(duty.newest_record_at.value_or(since), since);
  // Nobody has ever planned, or the last planner has said that it leaves.
  if (duty.planner.address.empty() || !duty.newest_record_at) return silence >= head_start;
  return silence > patience + head_start;
}

PlannerElector::PlannerElector(const ElectorOptions& options, KeyedLog* log, WorkView* work,
                               const MembersView* members, PlannerConnector* connector,
                               PlannerService* service)
    : options_(options),
      patience_(options.silence + ShareOf(options.node, options.spread)),
      log_(log),
      work_(work),
      members_(members),
      connector_(connector),
      service_(service),
      in_touch_since_(LeaseClock().Now()),
      thread_("duty", [this] { Run(); }) {}

PlannerElector::~PlannerElector() { stopping_.store(true); }

void PlannerElector::Run() {
  while (!stopping_.load()) {
    std::this_thread::sleep_for(kTick);
    const Time now = LeaseClock().Now();
    const LeadershipView duty = work_->duty();
    if (!duty.freshness.within(options_.view_limit, now)) in_touch_since_ = now;
    const bool would_claim = !leaving_.load() && duty.freshness.within(options_.view_limit, now);
    service_->NoteDuty(duty.planner, would_claim);
    if (!leaving_.load()) EnsureListed(now);
    const int64_t epoch = service_->epoch();
    if (epoch > 0) {
      if (duty.planner.epoch > epoch) service_->End("a newer planner has been read");
      if (announced_epoch_ < epoch) Announce();
      if (predecessor_) TellPredecessor();
      ForgetSilentAgents(now);
      OfferDuty(now);
      continue;
    }
    if (leaving_.load()) continue;
    if (Wants(duty, now)) Claim(now);
  }
}

bool PlannerElector::Wants(const LeadershipView& duty, Time now) const {
  if (!members_->freshness().asked) return false;
  // A record of this entry's own that it does not act on: from a life before, or from a claim
  // whose answer was lost. Nobody plans, and nobody else need wait to find out.
  const bool mine = duty.planner.node == options_.node && !duty.planner.address.empty();
  if (mine) return duty.freshness.within(options_.view_limit, now);
  const Duration head_start = BetterEntries().empty() ? Duration::zero() : options_.head_start;
  return ShouldClaim(duty, in_touch_since_, patience_, options_.view_limit, now, head_start);
}

std::vector<EntryRecord> PlannerElector::BetterEntries() const {
  std::vector<EntryRecord> better;
  const int agents = static_cast<int>(members_->agent_count());
  if (options_.planning_capacity >= agents) return better;
  for (const auto& [node, entry] : members_->entries()) {
    if (node == options_.node) continue;
    if (!ShouldYieldTo(entry.planning_capacity, options_.planning_capacity, agents)) continue;
    better.push_back(entry);
  }
  std::stable_sort(better.begin(), better.end(), [](const auto& left, const auto& right) {
    return left.planning_capacity > right.planning_capacity;
  });
  return better;
}

void PlannerElector::EnsureListed(Time now) {
  if (now - listed_checked_ < kCheckListedEvery) return;
  if (!members_->freshness().within(kMembersLimit, now)) return;
  listed_checked_ = now;
  const EntryRecord self = {options_.node, options_.zone, options_.address,
                            options_.planning_capacity};
  const std::map<std::string, EntryRecord> entries = members_->entries();
  work_->SetReaders(entries.size());
  const auto listed = entries.find(options_.node);
  if (listed != entries.end() && listed->second == self) return;
  try {
    log_->Append(kMembersTopic, {{kEntryPrefix + options_.node, EncodeEntry(self), kNoOffset}}, {},
                 kAskTimeout);
    LogEvent(LogLevel::kInfo, "entry_listed",
             {{"address", self.address}, {"planning_capacity", self.planning_capacity}});
  } catch (const Error& error) {
    LogEvent(LogLevel::kWarning, "entry_not_listed", {{"error", error.what()}});
  }
}

void PlannerElector::OfferDuty(Time now) {
  if (leaving_.load() || predecessor_ || now - duty_since_ < kSettleFirst) return;
  if (now - offered_ < options_.offer_every) return;
  offered_ = now;
  std::vector<EntryRecord> better = BetterEntries();
  if (better.size() > kOffersAtOnce) better.resize(kOffersAtOnce);
  for (const EntryRecord& entry : better) {
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
  const JobTable book = work_->book(&basis);
  // Another entry's claim may have been read since the last look. A claim on top of it would hold,
  // being made from the newest view, and end the duty of a planner that has just begun: one notices
  // by two planners within a tick and by callers that are told "unknown" twice.
  if (!Wants(basis, now)) return;
  const int64_t epoch = std::max(book.planner().epoch, refused_epoch_) + 1;
  const int64_t sequence = FirstSequence();
  std::set<std::string> agents;
  try {
    log_->Append(
        kWorkTopic,
        {{kPlannerKey, EncodePlanner({epoch, options_.node, options_.address}), kNoOffset}},
        {basis.end, kPlannerProducer, epoch, sequence}, kClaimTimeout);
    agents = ReadAgents();
  } catch (const Error& error) {
    if (error.kind() == ErrorKind::kFenced) refused_epoch_ = epoch;
    LogEvent(LogLevel::kInfo, "claim_failed",
             {{"epoch", epoch}, {"end", basis.end}, {"error", error.what()}});
    return;
  }
  duty_since_ = now;
  predecessor_ = book.planner();
  silence_logged_ = false;
  service_->Begin(epoch, sequence, book, agents, now);
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

void PlannerElector::TellPredecessor() {
  const PlannerRecord before = *predecessor_;
  // A record without an address was written by the planner as it left, one of this node by a
  // process that has ended.
  bool gone = before.address.empty() || before.node == options_.node;
  if (!gone) {
    try {
      const PlannerRecord self = {service_->epoch(), options_.node, options_.address};
      connector_->Connect(before.address, kAskTimeout)->Yield(self, kAskTimeout);
      gone = true;
    } catch (const Error& error) {
      // Only its own word counts: a refused connection may as well be a cut on the way.
      // It is tried ten times a second; one line says all.
      if (!silence_logged_) {
        LogEvent(LogLevel::kInfo, "predecessor_silent",
                 {{"epoch", before.epoch}, {"node", before.node}, {"error", error.what()}});
      }
      silence_logged_ = true;
    }
  }
  if (gone) {
    predecessor_.reset();
    service_->PredecessorGone();
    LogEvent(LogLevel::kInfo, "predecessor_gone", {{"epoch", before.epoch}, {"node", before.node}});
  } else if (LeaseClock().Now() - duty_since_ > options_.forget_agents_not_before) {
    predecessor_.reset();
  }
}

void PlannerElector::ForgetSilentAgents(Time now) {
  if (now - duty_since_ < options_.forget_agents_not_before) return;
  if (now - agents_checked_ < kCheckAgentsEvery) return;
  agents_checked_ = now;
  const std::set<std::string> agents = members_->agents();
  for (const std::string& node :
       service_->SilentAgents(agents, options_.forget_agents_after, now)) {
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
