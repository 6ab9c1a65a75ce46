#include "servers/pool/duty_keeper.h"

#include <algorithm>
#include <functional>
#include <string>
#include <thread>

#include "core/logging.h"
#include "core/secret.h"

namespace turmericshift::pool {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr Duration kClaimTimeout = std::chrono::milliseconds(1200);
constexpr Duration kAskTimeout = std::chrono::milliseconds(300);
constexpr Duration kCheckAgentsEvery = std::chrono::seconds(5);

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

bool ShouldClaim(const DutyView& duty, Time since, Duration patience, Duration view_limit,
                 Time now) {
  if (!duty.freshness.within(view_limit, now)) return false;
  // Nobody has ever planned, or the last planner has said that it leaves.
  if (duty.planner.address.empty()) return true;
  if (!duty.newest_record_at) return true;
  // Silence counts only while this entry could have heard something.
  return now - std::max(*duty.newest_record_at, since) > patience;
}

DutyKeeper::DutyKeeper(const DutyOptions& options, KeyedLog* log, const WorkView* work,
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

DutyKeeper::~DutyKeeper() { stopping_.store(true); }

void DutyKeeper::Run() {
  while (!stopping_.load()) {
    std::this_thread::sleep_for(kTick);
    const Time now = LeaseClock().Now();
    const DutyView duty = work_->duty();
    if (!duty.freshness.within(options_.view_limit, now)) in_touch_since_ = now;
    const int64_t epoch = service_->epoch();
    if (epoch > 0) {
      if (duty.planner.epoch > epoch) service_->End("a newer planner has been read");
      if (announced_epoch_ < epoch) Announce();
      if (predecessor_) TellPredecessor();
      ForgetSilentAgents(now);
      continue;
    }
    if (leaving_.load()) continue;
    if (Wants(duty, now)) Claim(now);
  }
}

bool DutyKeeper::Wants(const DutyView& duty, Time now) const {
  if (!members_->freshness().asked) return false;
  // A record of this entry's own that it does not act on: from a life before, or from a claim
  // whose answer was lost. Nobody plans, and nobody else need wait to find out.
  const bool mine = duty.planner.node == options_.node && !duty.planner.address.empty();
  if (mine) return duty.freshness.within(options_.view_limit, now);
  return ShouldClaim(duty, in_touch_since_, patience_, options_.view_limit, now);
}

void DutyKeeper::Claim(Time now) {
  DutyView basis;
  const JobBook book = work_->book(&basis);
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
std::set<std::string> DutyKeeper::ReadAgents() const {
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

void DutyKeeper::Announce() {
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

void DutyKeeper::TellPredecessor() {
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

void DutyKeeper::ForgetSilentAgents(Time now) {
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
