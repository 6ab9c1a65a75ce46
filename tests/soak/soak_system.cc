#include "tests/soak/soak_system.h"

#include <signal.h>

#include <algorithm>
#include <fstream>
#include <functional>

#include "platform/soak/caller.h"
#include "servers/pool/job_records.h"
#include "servers/pool/pool_view.h"

namespace turmericshift::soak {
namespace {

constexpr Duration kNoTimeout = std::chrono::seconds(1);
constexpr int kWorkersInRack = 3;
constexpr pool::Room kCapacity = {64'000, 131'072, 8};
// The clock of every third worker runs at this rate, the slowest that is allowed.
constexpr double kSlowClock = 0.98;

// The platform kills an entry this long after SIGTERM.
constexpr int kStopLimitSeconds = 6;

std::string Loopback(int port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

SoakSystem::SoakSystem(const SoakSystemOptions& options, SoakHistory* history)
    : options_(options), history_(history), store_server_(&log_) {
  PublishDocument();
  for (int number = 0; number < options_.entries; ++number) AddEntry(number);
  for (int number = 0; number < options_.workers; ++number) AddWorkerNode(number);
}

SoakSystem::~SoakSystem() {
  for (const auto& entry : entries_) entry->process.reset();
  for (const auto& worker_node : worker_nodes_) worker_node->process.reset();
  // Workers must end before the hooks that they call.
  for (const auto& worker_node : worker_nodes_) worker_node->worker.reset();
}

const std::vector<std::string>& SoakSystem::zones() {
  static const std::vector<std::string> names = {"a", "b", "c"};
  return names;
}

std::vector<std::string> SoakSystem::CommandFor(const std::string& role, const std::string& name,
                                                const std::string& settings) const {
  const std::string path = options_.folder + "/" + name + ".ini";
  std::ofstream(path) << settings;
  return {options_.binary, "pool", role, path};
}

void SoakSystem::ProcessEndedByItself(const std::string& name) {
  history_->RecordViolation(name + " ended by itself");
}

void SoakSystem::AddEntry(int number) {
  entries_.push_back(std::make_unique<SoakEntry>());
  SoakEntry* entry = entries_.back().get();
  entry->name = "entry-" + std::to_string(number);
  entry->zone = zones()[static_cast<size_t>(number) % zones().size()];
  entry->callers = std::make_unique<TcpRelay>(0, options_.ip);
  entry->sessions = std::make_unique<TcpRelay>(0, options_.ip);
  entry->store = std::make_unique<TcpRelay>(store_server_.port());
  const std::string settings =
      "[process]\nname = " + entry->name + "\navailability_zone = " + entry->zone +
      "\nadapter = users\nstop_limit_s = " + std::to_string(kStopLimitSeconds) +
      "\n[listen]\ncallers = " + options_.ip + ":0\nreadiness = " + options_.ip +
      ":0\nsessions = " + options_.ip +
      ":0\nsessions_reached_at = " + Loopback(entry->sessions->port()) +
      "\n[store]\naddress = " + Loopback(entry->store->port()) + "\n";
  const auto started = [entry](const nlohmann::json& event) {
    entry->callers->Retarget(event.at("callers").get<int>());
    entry->sessions->Retarget(event.at("sessions").get<int>());
  };
  entry->process = std::make_unique<SoakProcess>(
      SoakProcessOptions{entry->name, CommandFor("entry", entry->name, settings), options_.folder},
      started, [this](const std::string& name) { ProcessEndedByItself(name); });
}

void SoakSystem::AddWorkerNode(int number) {
  worker_nodes_.push_back(std::make_unique<SoakWorkerNode>());
  SoakWorkerNode* worker_node = worker_nodes_.back().get();
  worker_node->name = "agent-" + std::to_string(number);
  worker_node->zone = zones()[static_cast<size_t>(number) % zones().size()];
  platform::FakeWorkerServerOptions worker;
  worker.service = "plans";
  worker.agent_ip = options_.ip;
  worker.zone = worker_node->zone;
  worker.rack = "r" + std::to_string(number / kWorkersInRack);
  worker.machine = "vm-" + std::to_string(number);
  worker.capacity = kCapacity;
  worker.clock_rate = number % 3 == 0 ? kSlowClock : 1.0;
  worker_node->worker = std::make_unique<platform::FakeWorkerServer>(worker, &gang_tracker_);
  worker_node->worker_relay = std::make_unique<TcpRelay>(worker_node->worker->port());
  worker_node->store = std::make_unique<TcpRelay>(store_server_.port());
  StartWorker(worker_node, false);
  const std::string settings =
      "[process]\nname = " + worker_node->name + "\navailability_zone = " + worker_node->zone +
      "\nadapter = users\n[listen]\nannouncements = " + options_.ip +
      ":0\n[worker]\naddress = " + Loopback(worker_node->worker_relay->port()) +
      "\n[store]\naddress = " + Loopback(worker_node->store->port()) + "\n";
  const auto started = [worker_node](const nlohmann::json& event) {
    worker_node->worker->SetAgentPort(event.at("announcements").get<int>());
  };
  worker_node->process = std::make_unique<SoakProcess>(
      SoakProcessOptions{worker_node->name, CommandFor("agent", worker_node->name, settings),
                         options_.folder},
      started, [this](const std::string& name) { ProcessEndedByItself(name); });
}

void SoakSystem::CrashWorker(SoakWorkerNode* worker_node) {
  if (!worker_node->incarnation) return;
  // Calls to the ended incarnation are lost, and its port refuses connections.
  worker_node->worker_relay->SetFault(RelayFault::kReset);
  worker_node->worker->Crash();
  history_->EndIncarnation(worker_node->incarnation.get());
  past_incarnations_.push_back(std::move(worker_node->incarnation));
}

void SoakSystem::StartWorker(SoakWorkerNode* worker_node, bool same_id) {
  if (worker_node->incarnation) return;
  if (!same_id) ++worker_node->incarnations;
  worker_node->incarnation = history_->Watch(worker_node->name, worker_node->zone);
  worker_node->worker->StartWorker(
      worker_node->name + "-worker-" + std::to_string(worker_node->incarnations),
      worker_node->incarnation.get());
  worker_node->worker_relay->SetFault(RelayFault::kNone);
}

SoakEntry* SoakSystem::PlanningEntry() {
  for (const KeyedRecord& record : log_.Newest(pool::kPlannerTopic, "", kNoTimeout).records) {
    if (record.key != pool::kPlannerKey) continue;
    const std::string node = pool::DecodePlanner(record.value).node;
    for (const auto& entry : entries_) {
      if (entry->name == node) return entry.get();
    }
  }
  return nullptr;
}

void SoakSystem::CutAgents(const std::string& zone, bool cut) {
  const auto affects = [this, zone](int port) {
    return std::any_of(worker_nodes_.begin(), worker_nodes_.end(), [&](const auto& each) {
      return each->zone == zone && each->process->owns_port(port);
    });
  };
  for (const auto& entry : entries_) {
    entry->sessions->SilenceCallers(cut ? affects : std::function<bool(int)>());
  }
  for (const auto& each : worker_nodes_) {
    if (each->zone == zone) each->store->SetFault(cut ? RelayFault::kSilent : RelayFault::kNone);
  }
}

void SoakSystem::Append(const KeyedRecord& record) {
  log_.Append(platform::OperatorsTopic(), {record}, {}, kNoTimeout);
}

void SoakSystem::SetZone(const std::string& zone, bool out) {
  Append(platform::ZoneRecord(zone, out));
  if (out) {
    history_->RecordZoneOut(zone, LeaseClock().Now());
  } else {
    history_->RecordZoneIn(zone);
  }
}

void SoakSystem::PublishDocument() { Append(platform::DocumentRecord(++version_)); }

void SoakSystem::DropHistory() {
  log_.DropHistory(pool::kWorkTopic);
  log_.DropHistory(pool::kMembersTopic);
  log_.DropHistory(platform::OperatorsTopic());
}

void SoakSystem::Heal() {
  store_server_.SetFaults({});
  for (const std::string& zone : zones()) SetZone(zone, false);
  for (const auto& entry : entries_) {
    entry->process->Signal(SIGCONT);
    for (TcpRelay* relay : {entry->callers.get(), entry->sessions.get(), entry->store.get()}) {
      relay->SetFault(RelayFault::kNone);
    }
  }
  for (const auto& worker_node : worker_nodes_) {
    worker_node->process->Signal(SIGCONT);
    CutAgents(worker_node->zone, false);
    worker_node->worker->DelayCalls(Time{});
    worker_node->worker->SetDraining(false);
    StartWorker(worker_node.get(), true);
    worker_node->worker_relay->SetFault(RelayFault::kNone);
  }
}

}  // namespace turmericshift::soak
