#include "tests/stand_ins/pool_faults.h"

#include <algorithm>
#include <array>

namespace turmericshift::pool {
namespace {

struct KindName {
  FaultKind kind;
  const char* name;
};

constexpr std::array<KindName, 21> kKindNames = {{
    {FaultKind::kLateCalls, "late_calls"},
    {FaultKind::kLostAnswers, "lost_answers"},
    {FaultKind::kKeptIds, "kept_ids"},
    {FaultKind::kSlowMessages, "slow_messages"},
    {FaultKind::kReplacedAgents, "replaced_agents"},
    {FaultKind::kCutWorkers, "cut_workers"},
    {FaultKind::kSlowClocks, "slow_clocks"},
    {FaultKind::kLateAnnouncements, "late_announcements"},
    {FaultKind::kStartsBeforeTheFirst, "starts_before_the_first"},
    {FaultKind::kShortLists, "short_lists"},
    {FaultKind::kOtherWriters, "other_writers"},
    {FaultKind::kUnnoticedRestarts, "unnoticed_restarts"},
    {FaultKind::kHandovers, "handovers"},
    {FaultKind::kSlowLapses, "slow_lapses"},
    {FaultKind::kRefusedConnections, "refused_connections"},
    {FaultKind::kOldReadings, "old_readings"},
    {FaultKind::kLostWorkers, "lost_workers"},
    {FaultKind::kRestartsBesidePlannerChanges, "restarts_beside_planner_changes"},
    {FaultKind::kStopsBeforeTheFirst, "stops_before_the_first"},
    {FaultKind::kHoldsBeforeTheFirst, "holds_before_the_first"},
    {FaultKind::kClocksAhead, "clocks_ahead"},
}};

// One in this many kinds of fault is left out of a history.
constexpr unsigned kKindsPerOmission = 4;
constexpr int kCallsPerLateCall = 20;
constexpr int kCallsPerLostAnswer = 20;
constexpr int kCallsPerSlowCall = 20;
constexpr int kExchangesPerSlowExchange = 8;
constexpr int kAnnouncementsPerLateOne = 4;
constexpr int kRestartsPerDeparture = 3;
constexpr int kCallsPerReplacedAgent = 40;
constexpr int kTicksPerOtherWriter = 200;
constexpr int kUnnoticedMinMs = 200;
constexpr int kUnnoticedMaxMs = 1500;
constexpr int kIsolationMaxMs = 12'000;
constexpr int kTicksPerCut = 1500;
constexpr unsigned kTicksPerRestart = 6000;
constexpr int kLateCallMinMs = 2000;
constexpr int kLateCallMaxMs = 12'000;
constexpr int kSlowCallMaxMs = 250;
constexpr int kSlowExchangeMaxMs = 1400;
constexpr int kExchangeMaxMs = 20;
constexpr int kAnnouncementMaxMs = 50;
constexpr int kLateAnnouncementMaxMs = 2500;
constexpr int kCutMinMs = 200;
constexpr int kCutMaxMs = 8000;
constexpr int kTicksPerRefusal = 1500;
constexpr int kRefusalMinMs = 1000;
constexpr int kRefusalMaxMs = 10'000;
constexpr int kTicksPerLostAnswers = 3000;
constexpr int kAnswersLostMinMs = 8000;
constexpr int kAnswersLostMaxMs = 20'000;
constexpr int kTicksPerLoss = 4000;
// Pools of six workers have room for all jobs of a history without one of them.
constexpr int kMaxLostWorkers = 1;
constexpr unsigned kLossesPerAgentLeft = 4;
constexpr int kAgentBackMaxMs = 6000;
constexpr int kTicksPerRestartBesideChange = 3000;
constexpr int kChangeMaxMs = 2000;
constexpr int kReconnectMaxMs = 1000;
constexpr int kCutAfterChangeMaxMs = 2000;
constexpr int kCutAfterChangeMinLengthMs = 4000;
constexpr int kCutAfterChangeMaxLengthMs = 12'000;
constexpr unsigned kChangesPerReplacedPlanner = 8;
constexpr unsigned kCutsPerCutWorker = 4;
constexpr int kUnannouncedMinMs = 60;
constexpr int kUnannouncedMaxMs = 500;
// How far the clock of a new life is from that of the former one.
constexpr int kNearClockMaxMs = 10'000;
constexpr int kFarClockMaxMs = 3'600'000;
constexpr double kSlowClockRate = 0.98;

}  // namespace

const char* FaultKindName(FaultKind kind) {
  for (const KindName& row : kKindNames) {
    if (row.kind == kind) return row.name;
  }
  return "";
}

std::set<FaultKind> ToleratedFaultKinds() {
  std::set<FaultKind> kinds;
  for (const KindName& row : kKindNames) kinds.insert(row.kind);
  kinds.erase(FaultKind::kStartsBeforeTheFirst);
  kinds.erase(FaultKind::kShortLists);
  kinds.erase(FaultKind::kOtherWriters);
  kinds.erase(FaultKind::kUnnoticedRestarts);
  kinds.erase(FaultKind::kHandovers);
  kinds.erase(FaultKind::kSlowLapses);
  kinds.erase(FaultKind::kRefusedConnections);
  kinds.erase(FaultKind::kOldReadings);
  kinds.erase(FaultKind::kLostWorkers);
  kinds.erase(FaultKind::kRestartsBesidePlannerChanges);
  kinds.erase(FaultKind::kStopsBeforeTheFirst);
  kinds.erase(FaultKind::kHoldsBeforeTheFirst);
  kinds.erase(FaultKind::kClocksAhead);
  return kinds;
}

std::set<FaultKind> DrawFaultKinds(unsigned seed) {
  std::mt19937 random(seed);
  std::set<FaultKind> kinds = ToleratedFaultKinds();
  std::erase_if(kinds, [&](FaultKind /*kind*/) { return random() % kKindsPerOmission == 0; });
  return kinds;
}

bool RandomFaults::Happens(FaultKind kind, int one_in) {
  if (kinds_.count(kind) == 0) return false;
  if (random_() % static_cast<unsigned>(one_in) != 0) return false;
  ++counts_[kind];
  return true;
}

Duration RandomFaults::Between(int low_ms, int high_ms) {
  const unsigned range = static_cast<unsigned>(high_ms - low_ms + 1);
  return std::chrono::milliseconds(low_ms + static_cast<int>(random_() % range));
}

Duration RandomFaults::UpTo(int most_ms) {
  const int limit_ms = static_cast<int>(random_() % static_cast<unsigned>(most_ms + 1));
  return Between(0, limit_ms);
}

CallFate RandomFaults::FateOfCall(const std::string& /*node*/, WorkerCall /*call*/) {
  if (Happens(FaultKind::kLateCalls, kCallsPerLateCall)) {
    const bool executed = random_() % 2 == 0;
    if (!executed) return {std::nullopt, false};
    return {Between(kLateCallMinMs, kLateCallMaxMs), false};
  }
  if (Happens(FaultKind::kLostAnswers, kCallsPerLostAnswer)) return {Duration::zero(), false};
  if (Happens(FaultKind::kSlowMessages, kCallsPerSlowCall)) {
    return {Between(1, kSlowCallMaxMs), true};
  }
  return {};
}

CallFate RandomFaults::FateOfCallInCut(const std::string& /*node*/) {
  // The cut may swallow the call or its answer.
  if (random_() % 2 == 0) return {std::nullopt, false};
  return {Duration::zero(), false};
}

ExchangeDelays RandomFaults::DelaysOfExchange(const std::string& /*node*/) {
  const bool slow = Happens(FaultKind::kSlowMessages, kExchangesPerSlowExchange);
  const Duration total = Between(0, slow ? kSlowExchangeMaxMs : kExchangeMaxMs);
  const int percent = static_cast<int>(random_() % 101);
  const Duration report = total * percent / 100;
  return {report, total - report};
}

std::optional<Duration> RandomFaults::DelayOfAnnouncement(const std::string& /*node*/) {
  if (kinds_.count(FaultKind::kLateAnnouncements) == 0) return std::nullopt;
  const bool late = Happens(FaultKind::kLateAnnouncements, kAnnouncementsPerLateOne);
  return Between(0, late ? kLateAnnouncementMaxMs : kAnnouncementMaxMs);
}

std::optional<Duration> RandomFaults::DelayOfDeparture(const std::string& /*node*/) {
  if (!Happens(FaultKind::kLateAnnouncements, kRestartsPerDeparture)) return std::nullopt;
  return Between(0, kLateAnnouncementMaxMs);
}

bool RandomFaults::KeepsId(const std::string& /*node*/) { return Happens(FaultKind::kKeptIds, 2); }

bool RandomFaults::AnotherWriterAnnounces(const std::string& /*node*/) {
  return Happens(FaultKind::kOtherWriters, kTicksPerOtherWriter);
}

std::optional<Duration> RandomFaults::GoesUnnoticedFor(const std::string& /*node*/) {
  if (!Happens(FaultKind::kUnnoticedRestarts, 1)) return std::nullopt;
  return Between(kUnnoticedMinMs, kUnnoticedMaxMs);
}

Duration RandomFaults::IsolationAfterRestart(const std::string& /*node*/) {
  return Between(0, kIsolationMaxMs);
}

bool RandomFaults::LosesWorker(const std::string& /*node*/) {
  const auto losses = counts_.find(FaultKind::kLostWorkers);
  if (losses != counts_.end() && losses->second >= kMaxLostWorkers) return false;
  return Happens(FaultKind::kLostWorkers, kTicksPerLoss);
}

std::optional<Duration> RandomFaults::ReplacesAgentAfterLoss(const std::string& /*node*/) {
  if (random_() % kLossesPerAgentLeft == 0) return std::nullopt;
  return Between(0, kAgentBackMaxMs);
}

bool RandomFaults::RestartsWorker(const std::string& /*node*/) {
  return kinds_.count(FaultKind::kKeptIds) > 0 && random_() % kTicksPerRestart == 0;
}

std::optional<RestartBesidePlannerChange> RandomFaults::RestartsBesidePlannerChange(
    const std::string& /*node*/) {
  if (!Happens(FaultKind::kRestartsBesidePlannerChanges, kTicksPerRestartBesideChange)) {
    return std::nullopt;
  }
  RestartBesidePlannerChange change;
  const Duration apart = UpTo(kChangeMaxMs);
  (random_() % 2 == 0 ? change.restart : change.planner_change) = apart;
  change.reconnect = apart + UpTo(kReconnectMaxMs);
  change.cut = change.reconnect + UpTo(kCutAfterChangeMaxMs);
  change.cut_length = Between(kCutAfterChangeMinLengthMs, kCutAfterChangeMaxLengthMs);
  change.unannounced = Between(kUnannouncedMinMs, kUnannouncedMaxMs);
  change.hands_over = random_() % kChangesPerReplacedPlanner != 0;
  change.cuts_worker = random_() % kCutsPerCutWorker == 0;
  return change;
}

bool RandomFaults::ReplacesAgentAtRestart(const std::string& /*node*/) {
  return Happens(FaultKind::kReplacedAgents, 2);
}

bool RandomFaults::ReplacesAgentInCall(const std::string& /*node*/) {
  return Happens(FaultKind::kReplacedAgents, kCallsPerReplacedAgent);
}

std::optional<Duration> RandomFaults::CutOff(const std::string& /*node*/) {
  if (!Happens(FaultKind::kCutWorkers, kTicksPerCut)) return std::nullopt;
  return Between(kCutMinMs, kCutMaxMs);
}

std::optional<size_t> RandomFaults::MaxListedEnds(const std::string& /*node*/) {
  if (kinds_.count(FaultKind::kShortLists) == 0) return std::nullopt;
  return 1;
}

std::optional<Duration> RandomFaults::RefusesConnectionsFor(const std::string& /*node*/) {
  if (!Happens(FaultKind::kRefusedConnections, kTicksPerRefusal)) return std::nullopt;
  return Between(kRefusalMinMs, kRefusalMaxMs);
}

std::optional<LostAnswers> RandomFaults::LosesAnswers(const std::string& /*node*/) {
  if (!Happens(FaultKind::kOldReadings, kTicksPerLostAnswers)) return std::nullopt;
  const Duration before_isolation = Between(kAnswersLostMinMs, kAnswersLostMaxMs);
  return LostAnswers{before_isolation, Between(0, kIsolationMaxMs)};
}

Duration RandomFaults::LapseTime(const std::string& /*node*/, Duration longest) {
  return Happens(FaultKind::kSlowLapses, 2) ? longest : Duration::zero();
}

Duration RandomFaults::ClockAtRestart(const std::string& /*node*/, Duration former) {
  if (!Happens(FaultKind::kClocksAhead, 2)) return Duration::zero();
  const int most_ms = random_() % 2 == 0 ? kNearClockMaxMs : kFarClockMaxMs;
  return std::max(Duration::zero(), former + Between(-kNearClockMaxMs, most_ms));
}

double RandomFaults::ClockRate(const std::string& /*node*/) {
  return Happens(FaultKind::kSlowClocks, 2) ? kSlowClockRate : 1.0;
}

bool RandomFaults::ExecutesBeforeTheFirst(const std::string& /*node*/, WorkerCall call) {
  switch (call) {
    case WorkerCall::kStart:
      return Happens(FaultKind::kStartsBeforeTheFirst, 1);
    case WorkerCall::kStop:
      return Happens(FaultKind::kStopsBeforeTheFirst, 1);
    case WorkerCall::kHold:
      return Happens(FaultKind::kHoldsBeforeTheFirst, 1);
  }
  return false;
}

}  // namespace turmericshift::pool
