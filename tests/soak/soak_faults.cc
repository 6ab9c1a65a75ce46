#include "tests/soak/soak_faults.h"

#include <signal.h>

#include <algorithm>
#include <array>
#include <thread>

#include "core/logging.h"
#include "core/units.h"

namespace turmericshift::soak {
namespace {

using std::chrono::milliseconds;

constexpr std::array<std::pair<FaultKind, const char*>, 32> kNames = {{
    {FaultKind::kKillEntry, "kill_entry"},
    {FaultKind::kTermEntry, "term_entry"},
    {FaultKind::kPauseEntry, "pause_entry"},
    {FaultKind::kKillAgent, "kill_agent"},
    {FaultKind::kTermAgent, "term_agent"},
    {FaultKind::kPauseAgent, "pause_agent"},
    {FaultKind::kEntryStoreRelay, "entry_store_way"},
    {FaultKind::kAgentStoreRelay, "agent_store_way"},
    {FaultKind::kSessionRelay, "session_way"},
    {FaultKind::kWorkerRelay, "worker_way"},
    {FaultKind::kCallerRelay, "caller_way"},
    {FaultKind::kStoreRefuses, "store_refuses"},
    {FaultKind::kStoreSlow, "store_slow"},
    {FaultKind::kStoreLosesAnswers, "store_loses_answers"},
    {FaultKind::kStoreForgets, "store_forgets"},
    {FaultKind::kWorkerCrash, "worker_crash"},
    {FaultKind::kWorkerRestart, "worker_reborn"},
    {FaultKind::kWorkerDrains, "worker_drains"},
    {FaultKind::kZoneOut, "zone_out"},
    {FaultKind::kDocument, "document"},
    {FaultKind::kRollEntries, "roll_entries"},
    {FaultKind::kKillAll, "kill_all"},
    {FaultKind::kTermEntryTwice, "term_entry_twice"},
    {FaultKind::kPauseEntryInStop, "pause_entry_in_stop"},
    {FaultKind::kKillEntryInStop, "kill_entry_in_stop"},
    {FaultKind::kReloadEntry, "hang_up_entry"},
    {FaultKind::kRollAgents, "roll_agents"},
    {FaultKind::kDocuments, "documents"},
    {FaultKind::kCutSessions, "cut_sessions"},
    {FaultKind::kCutStore, "cut_store"},
    {FaultKind::kCutZone, "cut_zone"},
    {FaultKind::kRestartAndCut, "restart_and_cut"},
}};
// DrawFaults draws from the rows of kNames before kFirstSeries, DrawSeries from those before
// kFirstCut, and DrawCuts from those before kFirstRestart.
constexpr size_t kFirstSeries = 22;
constexpr size_t kFirstCut = 28;
constexpr size_t kFirstRestart = 31;
// Keep the draws of cuts and of restarts apart from those of the other faults of the same seed.
constexpr uint64_t kCutSeed = uint64_t{1} << 63;
constexpr uint64_t kRestartSeed = uint64_t{1} << 62;

constexpr std::array<RelayFault, 5> kRelayFaults = {RelayFault::kSilent, RelayFault::kDropForward,
                                                    RelayFault::kDropBackward, RelayFault::kReset,
                                                    RelayFault::kSlow};
constexpr int kMinPauseMs = 50;
constexpr int kMaxPauseMs = 1500;
constexpr int kMinFaultMs = 200;
constexpr int kMaxFaultMs = 6000;
constexpr milliseconds kStoreDelay{250};
constexpr milliseconds kRollGap{900};
constexpr milliseconds kAgentRollGap{150};
constexpr milliseconds kDocumentGap{60};
constexpr int kDocumentsInSeries = 5;
// Tasks start, and calls to the workers are delayed, before a zone's workers restart.
constexpr milliseconds kBeforeRestart{5000};
constexpr milliseconds kCallsDelayedBefore{1000};
// Orders of a paused agent may still be executed this long after it resumes.
constexpr milliseconds kOrderDelayLimit{2000};

}  // namespace

const char* FaultKindName(FaultKind kind) {
  for (const auto& [each, name] : kNames) {
    if (each == kind) return name;
  }
  return "unknown";
}

namespace {

// Returns the processes of entries or worker nodes.
template <typename Owners>
std::vector<SoakProcess*> ProcessesOf(const Owners& owners) {
  std::vector<SoakProcess*> processes;
  processes.reserve(owners.size());
  for (const auto& owner : owners) processes.push_back(owner->process.get());
  return processes;
}

// Draws from the rows `first` to `last` - 1 of the table.
std::vector<Fault> Draw(uint64_t seed, Duration length, size_t first, size_t last) {
  std::mt19937_64 random(seed);
  const auto between = [&](int low, int high) {
    return low + static_cast<int>(random() % static_cast<uint64_t>(high - low + 1));
  };
  std::vector<Fault> faults;
  Duration at{};
  while (true) {
    at += milliseconds(between(kMinPauseMs, kMaxPauseMs));
    if (at >= length) return faults;
    Fault fault;
    fault.at = at;
    fault.lasts = milliseconds(between(kMinFaultMs, kMaxFaultMs));
    fault.kind = kNames[first + random() % (last - first)].first;
    fault.target = static_cast<uint32_t>(random());
    fault.relay_fault = kRelayFaults[random() % kRelayFaults.size()];
    faults.push_back(fault);
  }
}

}  // namespace

std::vector<Fault> DrawFaults(uint64_t seed, Duration length) {
  return Draw(seed, length, 0, kFirstSeries);
}

std::vector<Fault> DrawSeries(uint64_t seed, Duration length) {
  return Draw(~seed, length, kFirstSeries, kFirstCut);
}

std::vector<Fault> DrawCuts(uint64_t seed, Duration length) {
  return Draw(seed ^ kCutSeed, length, kFirstCut, kFirstRestart);
}

std::vector<Fault> DrawRestarts(uint64_t seed, Duration length) {
  std::mt19937_64 random(seed ^ kRestartSeed);
  std::vector<Fault> faults;
  Fault fault;
  fault.kind = FaultKind::kRestartAndCut;
  for (fault.at = kBeforeRestart; fault.at < length; fault.at += fault.lasts + kBeforeRestart) {
    fault.lasts = milliseconds(5000 + random() % 4000);
    fault.target = static_cast<uint32_t>(random());
    faults.push_back(fault);
  }
  return faults;
}

SoakEntry* FaultPlayer::EntryOf(const Fault& fault) const {
  return system_->entries()[fault.target % system_->entries().size()].get();
}

SoakWorkerNode* FaultPlayer::WorkerNodeOf(const Fault& fault) const {
  return system_->worker_nodes()[fault.target % system_->worker_nodes().size()].get();
}

TcpRelay* FaultPlayer::RelayOf(const Fault& fault) const {
  switch (fault.kind) {
    case FaultKind::kEntryStoreRelay:
      return EntryOf(fault)->store.get();
    case FaultKind::kAgentStoreRelay:
      return WorkerNodeOf(fault)->store.get();
    case FaultKind::kSessionRelay:
      return EntryOf(fault)->sessions.get();
    case FaultKind::kWorkerRelay:
      return WorkerNodeOf(fault)->worker_relay.get();
    default:
      return EntryOf(fault)->callers.get();
  }
}

std::vector<TcpRelay*> FaultPlayer::RelaysAround(const Fault& fault) const {
  const std::string& zone = SoakSystem::zones()[fault.target % SoakSystem::zones().size()];
  const bool sessions = fault.kind != FaultKind::kCutStore;
  const bool store = fault.kind != FaultKind::kCutSessions;
  std::vector<TcpRelay*> relays;
  for (const auto& entry : system_->entries()) {
    if (entry->zone != zone) continue;
    if (sessions) relays.push_back(entry->sessions.get());
    if (store) relays.push_back(entry->store.get());
  }
  for (const auto& worker_node : system_->worker_nodes()) {
    if (store && worker_node->zone == zone) relays.push_back(worker_node->store.get());
  }
  return relays;
}

std::vector<FaultPlayer::Step> FaultPlayer::RelaySteps(const Fault& fault,
                                                       const std::vector<TcpRelay*>& relays) {
  const auto set = [relays](RelayFault relay_fault) {
    for (TcpRelay* relay : relays) relay->SetFault(relay_fault);
  };
  return {{fault.at, [set, fault] { set(fault.relay_fault); }},
          {fault.at + fault.lasts, [set] { set(RelayFault::kNone); }}};
}

std::vector<FaultPlayer::Step> FaultPlayer::SignalSteps(const Fault& fault, SoakProcess* process,
                                                        int first, int last) {
  std::vector<Step> steps = {{fault.at, [process, first] { process->Signal(first); }}};
  if (last != 0) {
    steps.push_back({fault.at + fault.lasts, [process, last] { process->Signal(last); }});
  }
  return steps;
}

std::vector<FaultPlayer::Step> FaultPlayer::TermSteps(const Fault& fault, SoakProcess* process) {
  const auto stop = std::make_shared<StopRequest>(process);
  const auto ask = [stop] { stop->Send(); };
  const auto kill = [this, process, stop] {
    if (!stop->StillRuns()) return;
    // The signal may have been sent late, when this thread had no processor.
    std::this_thread::sleep_for(stop->grace_ends_at() - LeaseClock().Now());
    if (!stop->StillRuns()) return;
    const Time now = LeaseClock().Now();
    if (stop->Outlived(now)) {
      history_->RecordViolation(process->name() + " outlives its grace by " +
                                FormatDuration(now - stop->grace_ends_at()));
    }
    process->Signal(SIGKILL);
  };
  return {{fault.at, ask}, {fault.at + kStopGracePeriod, kill}};
}

std::vector<FaultPlayer::Step> FaultPlayer::StoreSteps(const Fault& fault,
                                                       const platform::StoreFaults& faults) {
  return {{fault.at, [this, faults] { system_->store().SetFaults(faults); }},
          {fault.at + fault.lasts, [this] { system_->store().SetFaults({}); }}};
}

std::vector<FaultPlayer::Step> FaultPlayer::WorkerSteps(const Fault& fault) {
  SoakWorkerNode* worker_node = WorkerNodeOf(fault);
  const bool same_id = fault.kind == FaultKind::kWorkerRestart;
  return {{fault.at, [this, worker_node] { system_->CrashWorker(worker_node); }},
          {fault.at + fault.lasts,
           [this, worker_node, same_id] { system_->StartWorker(worker_node, same_id); }}};
}

std::vector<FaultPlayer::Step> FaultPlayer::PlannerSteps(Duration at, Duration lasts,
                                                         uint64_t choice) {
  // Only a planner that stops in order is followed by another within a second.
  constexpr std::array<std::pair<int, int>, 4> kSignals = {
      {{SIGKILL, 0}, {SIGSTOP, SIGCONT}, {SIGTERM, 0}, {SIGTERM, 0}}};
  if (choice % 2 == 0) return {};
  const auto planner = std::make_shared<SoakEntry*>();
  const auto signal = [planner](int number) {
    if (*planner != nullptr && number != 0) (*planner)->process->Signal(number);
  };
  const auto [first, last] = kSignals[choice / 2 % kSignals.size()];
  return {{at,
           [this, planner, signal, first = first] {
             *planner = system_->PlanningEntry();
             signal(first);
           }},
          {at + lasts, [signal, last = last] { signal(last); }}};
}

std::vector<FaultPlayer::Step> FaultPlayer::RestartAndCutSteps(const Fault& fault) {
  std::mt19937_64 random(fault.target);
  const auto between = [&](int low, int high) {
    return milliseconds(low + static_cast<int>(random() % static_cast<uint64_t>(high - low + 1)));
  };
  const std::string zone = SoakSystem::zones()[fault.target % SoakSystem::zones().size()];
  const Duration delayed_from = fault.at - kCallsDelayedBefore;
  const Duration back = fault.at + between(100, 1000);
  const Duration delay = back - delayed_from + between(0, 500);
  const Duration cut = back + between(300, 2000);
  const Duration planner_at = cut + between(-1500, 500);
  const Duration planner_lasts = between(1000, 6000);
  std::vector<Step> steps = PlannerSteps(planner_at, planner_lasts, random());
  steps.push_back(
      {delayed_from, [this, delay] { history_->SuspendTimeLimits(LeaseClock().Now() + delay); }});
  steps.push_back({cut, [this, zone] { system_->CutAgents(zone, true); }});
  steps.push_back({cut + fault.lasts, [this, zone] { system_->CutAgents(zone, false); }});
  for (const auto& each : system_->worker_nodes()) {
    if (each->zone != zone) continue;
    SoakWorkerNode* node = each.get();
    steps.push_back(
        {delayed_from, [node, delay] { node->worker->DelayCalls(LeaseClock().Now() + delay); }});
    steps.push_back({fault.at, [this, node] {
                       node->worker->DelayCalls(Time{});
                       system_->CrashWorker(node);
                     }});
    steps.push_back({back, [this, node] { system_->StartWorker(node, true); }});
  }
  return steps;
}

std::vector<FaultPlayer::Step> FaultPlayer::RollSteps(const Fault& fault,
                                                      const std::vector<SoakProcess*>& processes,
                                                      Duration gap) {
  std::vector<Step> steps;
  Fault one = fault;
  for (SoakProcess* process : processes) {
    const std::vector<Step> more = TermSteps(one, process);
    steps.insert(steps.end(), more.begin(), more.end());
    one.at += gap;
  }
  return steps;
}

std::vector<FaultPlayer::Step> FaultPlayer::DocumentsSteps(const Fault& fault) {
  std::vector<Step> steps;
  steps.reserve(kDocumentsInSeries);
  for (int number = 0; number < kDocumentsInSeries; ++number) {
    steps.push_back({fault.at + number * kDocumentGap, [this] { system_->PublishDocument(); }});
  }
  return steps;
}

std::vector<FaultPlayer::Step> FaultPlayer::InterruptedStopSteps(const Fault& fault) {
  SoakProcess* process = EntryOf(fault)->process.get();
  std::vector<Step> steps = TermSteps(fault, process);
  const Duration interrupted_at = fault.at + fault.lasts / 2;
  switch (fault.kind) {
    case FaultKind::kTermEntryTwice:
      steps.push_back({interrupted_at, [process] { process->Signal(SIGTERM); }});
      break;
    case FaultKind::kKillEntryInStop:
      steps.push_back({interrupted_at, [process] { process->Signal(SIGKILL); }});
      break;
    default:
      steps.push_back({interrupted_at, [process] { process->Signal(SIGSTOP); }});
      steps.push_back({fault.at + fault.lasts, [process] { process->Signal(SIGCONT); }});
  }
  return steps;
}

std::vector<FaultPlayer::Step> FaultPlayer::StepsOf(const Fault& fault) {
  const Duration end = fault.at + fault.lasts;
  SoakWorkerNode* worker_node = WorkerNodeOf(fault);
  switch (fault.kind) {
    case FaultKind::kKillEntry:
      return SignalSteps(fault, EntryOf(fault)->process.get(), SIGKILL, 0);
    case FaultKind::kKillAgent:
      return SignalSteps(fault, worker_node->process.get(), SIGKILL, 0);
    case FaultKind::kTermEntry:
      return TermSteps(fault, EntryOf(fault)->process.get());
    case FaultKind::kTermAgent:
      return TermSteps(fault, worker_node->process.get());
    case FaultKind::kRollEntries:
      return RollSteps(fault, ProcessesOf(system_->entries()), kRollGap);
    case FaultKind::kRollAgents:
      return RollSteps(fault, ProcessesOf(system_->worker_nodes()), kAgentRollGap);
    case FaultKind::kTermEntryTwice:
    case FaultKind::kKillEntryInStop:
    case FaultKind::kPauseEntryInStop:
      return InterruptedStopSteps(fault);
    case FaultKind::kReloadEntry:
      return SignalSteps(fault, EntryOf(fault)->process.get(), SIGHUP, 0);
    case FaultKind::kDocuments:
      return DocumentsSteps(fault);
    case FaultKind::kPauseEntry:
      return SignalSteps(fault, EntryOf(fault)->process.get(), SIGSTOP, SIGCONT);
    case FaultKind::kPauseAgent: {
      std::vector<Step> steps = SignalSteps(fault, worker_node->process.get(), SIGSTOP, SIGCONT);
      const Duration suspension = fault.lasts + kOrderDelayLimit;
      steps.push_back({fault.at, [this, suspension] {
                         history_->SuspendTimeLimits(LeaseClock().Now() + suspension);
                       }});
      return steps;
    }
    case FaultKind::kStoreRefuses:
      return StoreSteps(fault, {true, false, milliseconds(0)});
    case FaultKind::kStoreLosesAnswers:
      return StoreSteps(fault, {false, true, milliseconds(0)});
    case FaultKind::kStoreSlow:
      return StoreSteps(fault, {false, false, kStoreDelay});
    case FaultKind::kStoreForgets:
      return {{fault.at, [this] { system_->DropHistory(); }}};
    case FaultKind::kWorkerCrash:
    case FaultKind::kWorkerRestart:
      return WorkerSteps(fault);
    case FaultKind::kWorkerDrains:
      return {{fault.at, [worker_node] { worker_node->worker->SetDraining(true); }},
              {end, [worker_node] { worker_node->worker->SetDraining(false); }}};
    case FaultKind::kZoneOut: {
      const std::string zone = worker_node->zone;
      return {{fault.at, [this, zone] { system_->SetZone(zone, true); }},
              {end, [this, zone] { system_->SetZone(zone, false); }}};
    }
    case FaultKind::kDocument:
      return {{fault.at, [this] { system_->PublishDocument(); }}};
    case FaultKind::kKillAll: {
      std::vector<Step> steps;
      for (const auto& entry : system_->entries()) {
        steps.push_back({fault.at, [&entry] { entry->process->Signal(SIGKILL); }});
      }
      for (const auto& each : system_->worker_nodes()) {
        steps.push_back({fault.at, [&each] { each->process->Signal(SIGKILL); }});
      }
      return steps;
    }
    case FaultKind::kCutSessions:
    case FaultKind::kCutStore:
    case FaultKind::kCutZone:
      return RelaySteps(fault, RelaysAround(fault));
    case FaultKind::kRestartAndCut:
      return RestartAndCutSteps(fault);
    default:
      return RelaySteps(fault, {RelayOf(fault)});
  }
}

void FaultPlayer::Play(const std::vector<Fault>& faults) {
  std::vector<Step> steps;
  for (const Fault& fault : faults) {
    for (Step& step : StepsOf(fault)) steps.push_back(std::move(step));
    steps.push_back({fault.at, [fault] {
                       LogEvent(LogLevel::kInfo, "fault",
                                {{"kind", FaultKindName(fault.kind)},
                                 {"target", fault.target},
                                 {"way", static_cast<int>(fault.relay_fault)},
                                 {"lasts_s", Seconds(fault.lasts)}});
                     }});
  }
  std::stable_sort(steps.begin(), steps.end(),
                   [](const Step& a, const Step& b) { return a.at < b.at; });
  const Time begun = LeaseClock().Now();
  for (const Step& step : steps) {
    std::this_thread::sleep_for(begun + step.at - LeaseClock().Now());
    step.act();
  }
}

}  // namespace turmericshift::soak
