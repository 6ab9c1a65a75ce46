#include "tests/soak/soak_system.h"

#include <signal.h>

#include <fstream>

#include "platform/soak/caller.h"
#include "servers/pool/pool_view.h"

namespace turmericshift::soak {
namespace {

constexpr Duration kNoTimeout = std::chrono::seconds(1);
constexpr int kWorkersInRack = 3;
constexpr pool::Room kCapacity = {64'000, 131'072, 8};
// Every third worker's clock runs slow by as much as is allowed.
constexpr double kSlowClock = 0.98;

// The platform kills an entry this long after it asked it to end.
constexpr int kStopSeconds = 6;

std::string Loopback(int port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

SoakSystem::SoakSystem(const SoakSystemOptions& options, SoakHistory* history)
    : options_(options), history_(history), store_server_(&log_) {
  PublishDocument();
  for (int number = 0; number < options_.entries; ++number) AddEntry(number);
  for (int number = 0; number < options_.workers; ++number) AddSide(number);
}

SoakSystem::~SoakSystem() {
  for (const auto& entry : entries_) entry->process.reset();
  for (const auto& side : sides_) side->process.reset();
  // Workers end before the watches that they tell.
  for (const auto& side : sides_) side->worker.reset();
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
  history_->Violation(name + " ended by itself");
}

void SoakSystem::AddEntry(int number) {
  entries_.push_back(std::make_unique<SoakEntry>());
  SoakEntry* entry = entries_.back().get();
  entry->name = "entry-" + std::to_string(number);
  entry->callers = std::make_unique<TcpRelay>(0, options_.ip);
  entry->sessions = std::make_unique<TcpRelay>(0, options_.ip);
  entry->store = std::make_unique<TcpRelay>(store_server_.port());
  const std::string settings =
      "[process]\nname = " + entry->name +
      "\navailability_zone = " + zones()[static_cast<size_t>(number) % zones().size()] +
      "\nadapter = users\nstop_limit_s = " + std::to_string(kStopSeconds) +
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

void SoakSystem::AddSide(int number) {
  sides_.push_back(std::make_unique<SoakSide>());
  SoakSide* side = sides_.back().get();
  side->name = "agent-" + std::to_string(number);
  side->zone = zones()[static_cast<size_t>(number) % zones().size()];
  platform::FakeWorkerServerOptions worker;
  worker.service = "plans";
  worker.agent_ip = options_.ip;
  worker.zone = side->zone;
  worker.rack = "r" + std::to_string(number / kWorkersInRack);
  worker.machine = "vm-" + std::to_string(number);
  worker.capacity = kCapacity;
  worker.clock_rate = number % 3 == 0 ? kSlowClock : 1.0;
  side->worker = std::make_unique<platform::FakeWorkerServer>(worker, &board_);
  side->worker_way = std::make_unique<TcpRelay>(side->worker->port());
  side->store = std::make_unique<TcpRelay>(store_server_.port());
  BearWorker(side, false);
  const std::string settings = "[process]\nname = " + side->name +
                               "\navailability_zone = " + side->zone +
                               "\nadapter = users\n[listen]\nannouncements = " + options_.ip +
                               ":0\n[worker]\naddress = " + Loopback(side->worker_way->port()) +
                               "\n[store]\naddress = " + Loopback(side->store->port()) + "\n";
  const auto started = [side](const nlohmann::json& event) {
    side->worker->SetAgentPort(event.at("announcements").get<int>());
  };
  side->process = std::make_unique<SoakProcess>(
      SoakProcessOptions{side->name, CommandFor("agent", side->name, settings), options_.folder},
      started, [this](const std::string& name) { ProcessEndedByItself(name); });
}

void SoakSystem::CrashWorker(SoakSide* side) {
  if (!side->life) return;
  // What was told to the life that ends is told to nobody; its port answers nobody.
  side->worker_way->SetFault(RelayFault::kReset);
  side->worker->Crash();
  history_->LifeOver(side->life.get());
  past_lives_.push_back(std::move(side->life));
}

void SoakSystem::BearWorker(SoakSide* side, bool same_id) {
  if (side->life) return;
  if (!same_id) ++side->lives;
  side->life = history_->Watch(side->name, side->zone);
  side->worker->StartWorker(side->name + "-worker-" + std::to_string(side->lives),
                            side->life.get());
  side->worker_way->SetFault(RelayFault::kNone);
}

void SoakSystem::Append(const KeyedRecord& record) {
  log_.Append(platform::OperatorsTopic(), {record}, {}, kNoTimeout);
}

void SoakSystem::SetZone(const std::string& zone, bool out) {
  Append(platform::ZoneRecord(zone, out));
  if (out) {
    history_->ZoneOut(zone, LeaseClock().Now());
  } else {
    history_->ZoneIn(zone);
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
    for (TcpRelay* way : {entry->callers.get(), entry->sessions.get(), entry->store.get()}) {
      way->SetFault(RelayFault::kNone);
    }
  }
  for (const auto& side : sides_) {
    side->process->Signal(SIGCONT);
    side->store->SetFault(RelayFault::kNone);
    side->worker->SetDraining(false);
    BearWorker(side.get(), true);
    side->worker_way->SetFault(RelayFault::kNone);
  }
}

}  // namespace turmericshift::soak
