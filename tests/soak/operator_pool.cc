#include "tests/soak/operator_pool.h"

#include <array>
#include <fstream>

#include "core/error.h"
#include "core/http_client.h"

namespace turmericshift::soak {
namespace {

constexpr std::array<const char*, kEntryCount> kZones = {"a", "b", "c"};

std::string Loopback(int port) { return "127.0.0.1:" + std::to_string(port); }

void WriteFile(const std::string& path, const std::string& text) { std::ofstream(path) << text; }

}  // namespace

OperatorPool::OperatorPool(const OperatorSoakOptions& options,
                           std::function<void(const std::string&)> on_unexpected_end)
    : options_(options), on_unexpected_end_(std::move(on_unexpected_end)), log_server_({}, &log_) {
  WriteFiles();
  for (size_t number = 0; number < kEntryCount; ++number) AddEntry(number);
  for (size_t number = 0; number < kEntryCount; ++number) AddAgent(number);
}

void OperatorPool::WriteFiles() const {
  WriteFile(options_.folder + "/keys", "a-key-for-this-soak\n");
  WriteFile(token_file(), "an-operator-token-for-this-soak\n");
  std::string text = "[environment]\ndeployment = soak\n";
  for (const char* zone : kZones) {
    text += "[availability_zone " + std::string(zone) +
            "]\nstate = in\nworkers = 1\nworkers_per_rack = 1\nprocessors_per_worker = 16\n"
            "memory_per_worker = 64GiB\naccelerators_per_worker = 8\n";
  }
  WriteFile(document(), text);
}

std::vector<std::string> OperatorPool::CommandFor(const std::string& role, const std::string& name,
                                                  const std::string& settings) const {
  const std::string path = options_.folder + "/" + name + ".ini";
  WriteFile(path, settings);
  return {options_.binary, role, path};
}

void OperatorPool::AddEntry(size_t number) {
  entries_.push_back(std::make_unique<Entry>());
  Entry* entry = entries_.back().get();
  entry->operators = std::make_unique<TcpRelay>(0, options_.ip);
  entry->sessions = std::make_unique<TcpRelay>(0, options_.ip);
  const std::string name = "entry-" + std::to_string(number);
  const std::string address = "address = " + options_.ip + "\n";
  const std::string settings =
      "[process]\nname = " + name + "\navailability_zone = " + kZones.at(number) +
      "\nshared_keys_file = " + options_.folder + "/keys\noperator_token_file = " + token_file() +
      "\nbalancer_notice = 200ms\n[callers]\n" + address + "[operators]\n" + address +
      "[sessions]\n" + address + "[log]\naddress = http://" + Loopback(log_server_.port()) + "\n";
  SoakProcessOptions process{name, CommandFor("entry", name, settings), options_.folder};
  process.started_event = "listening";
  const auto started = [entry](const nlohmann::json& event) {
    entry->operators->Retarget(event.at("operators").get<int>());
    entry->sessions->Retarget(event.at("sessions").get<int>());
  };
  entry->process = std::make_unique<SoakProcess>(process, started, on_unexpected_end_);
}

void OperatorPool::AddAgent(size_t number) {
  const std::string name = "agent-" + std::to_string(number);
  std::string entries;
  for (const auto& entry : entries_) entries += Loopback(entry->sessions->port()) + " ";
  const std::string settings =
      "[process]\nname = " + name + "\navailability_zone = " + kZones.at(number) +
      "\nrack = rack-" + std::to_string(number) + "\nshared_keys_file = " + options_.folder +
      "/keys\n[entries]\naddresses = " + entries +
      "\nheartbeat = 200ms\n[worker]\nclient = stand_in\naddress = inside\n"
      "processors = 16\nmemory = 64GiB\naccelerators = 8\n";
  SoakProcessOptions process{name, CommandFor("agent", name, settings), options_.folder};
  process.started_event = "agent_started";
  agents_.push_back(std::make_unique<SoakProcess>(
      process, [](const nlohmann::json&) {}, on_unexpected_end_));
}

bool OperatorPool::Serves(size_t entry, bool published) const {
  // An entry that was just asked to stop may still report that it is ready.
  if (entries_.at(entry)->process->end_requested()) return false;
  HttpCall call;
  call.url = "http://" + AddressOf(entry) + "/readyz";
  call.timeout = std::chrono::milliseconds(300);
  call.fresh_connection = true;
  try {
    const int status = PerformHttp(call).status;
    return status == 200 || (!published && status == 503);
  } catch (const Error&) {
    return false;
  }
}

std::string OperatorPool::AddressOf(size_t entry) const {
  return Loopback(entries_.at(entry)->operators->port());
}

}  // namespace turmericshift::soak
