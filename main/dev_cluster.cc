#include "main/dev_cluster.h"

#include "core/secret.h"

namespace turmericshift {
namespace {

constexpr size_t kKeyBytes = 16;
constexpr size_t kIncarnationBytes = 8;
// Higher than the connection limit of every service, so that the agent's limiter refuses excess
// requests immediately and no requests queue unnoticed before they reach it.
constexpr int kMaxRequests = 160;
constexpr const char* kLoopback = "127.0.0.1";

// Forwards all calls to a log that it does not own.
class ForwardingLog : public LogService {
 public:
  explicit ForwardingLog(LogService* log) : log_(log) {}
  Offset Append(const std::string& stream, const std::string& bytes, Duration timeout) override {
    return log_->Append(stream, bytes, timeout);
  }
  LogBatch Read(const std::string& stream, Offset from, Duration wait, Duration timeout) override {
    return log_->Read(stream, from, wait, timeout);
  }
  Offset FirstKept(const std::string& stream, Duration timeout) override {
    return log_->FirstKept(stream, timeout);
  }

 private:
  LogService* const log_;
};

std::string LoopbackUrl(int port) {
  return std::string("http://") + kLoopback + ":" + std::to_string(port);
}

}  // namespace

DevCluster::DevCluster(const DevOptions& options)
    : options_(options),
      environment_(ParseEnvironment("environment", options.environment_text)),
      keys_{{RandomHex(kKeyBytes)}} {
  if (options.log_over_http) log_server_ = std::make_unique<LogServer>(HttpServerOptions{}, &log_);
  for (const auto& [name, zone] : environment_.zones) {
    entries_.push_back({"entry-" + name, name, nullptr, nullptr, nullptr});
    StartEntry(entries_.size() - 1);
  }
  for (const auto& [name, zone] : environment_.zones) {
    for (int index = 0; index < zone.workers; ++index) {
      agents_.push_back({"worker-" + name + "-" + std::to_string(index), name, nullptr, nullptr,
                         nullptr, nullptr, nullptr});
      StartAgent(agents_.size() - 1);
    }
  }
}

DevCluster::~DevCluster() {
  // The servers are stopped concurrently, since each waits for its requests in flight.
  {
    std::vector<Thread> stop_threads;
    for (DevAgent& agent : agents_) {
      stop_threads.emplace_back("stop-agent", [&agent] { agent.server.reset(); });
    }
  }
  std::vector<Thread> stop_threads;
  for (size_t index = 0; index < entries_.size(); ++index) {
    stop_threads.emplace_back("stop-entry", [this, index] { StopEntry(index); });
  }
}

void DevCluster::StopEntry(size_t index) {
  DevEntry& entry = entries_[index];
  entry.gate.reset();
  entry.server.reset();
  entry.log.reset();
}

void DevCluster::StartEntry(size_t index) {
  DevEntry& entry = entries_[index];
  if (log_server_) {
    entry.log = LogServiceRegistry::Instance().Create("http", LoopbackUrl(log_server_->port()));
  } else {
    entry.log = std::make_unique<ForwardingLog>(&log_);
  }
  EntryOptions options;
  options.process = entry.name;
  options.zone = entry.zone;
  options.operator_token = options_.operator_token;
  options.placement_policy = options_.placement_policy;
  options.routing_policy = options_.routing_policy;
  options.eject_outliers = options_.eject_outliers;
  options.seed = index + 1;
  entry.server = std::make_unique<EntryServer>(options, entry.log.get(), &metrics_);
  GateOptions gate;
  gate.keys = keys_;
  entry.gate = std::make_unique<GateListener>(gate, entry.server.get());
  entry.server->AnnounceAddress(std::string(kLoopback) + ":" + std::to_string(entry.gate->port()));
}

void DevCluster::StopAgent(size_t index) { agents_[index].server.reset(); }

void DevCluster::StartAgent(size_t index) {
  DevAgent& agent = agents_[index];
  const AvailabilityZoneSpec& zone = *environment_.FindZone(agent.zone);
  if (!agent.worker) agent.worker = std::make_unique<FakeWorker>();
  if (!agent.target) agent.target = std::make_unique<FakeTarget>(HttpServerOptions{});
  agent.target_client =
      TargetServiceRegistry::Instance().Create("http", LoopbackUrl(agent.target->port()));
  agent.connector = std::make_unique<RpcEntryConnector>(keys_, kMaxRequests);
  AgentOptions options;
  options.hello.process = agent.name;
  options.hello.incarnation = RandomHex(kIncarnationBytes);
  options.hello.zone = agent.zone;
  const std::string number = agent.name.substr(agent.name.rfind('-') + 1);
  options.hello.rack =
      agent.zone + "-rack-" + std::to_string(std::stoi(number) / zone.workers_per_rack);
  if (!environment_.services.empty()) {
    const ServiceSpec& service = environment_.services.begin()->second;
    options.hello.service = service.name;
    options.slots = service.slots;
    options.connections = service.connections;
  }
  options.hello.worker = zone.worker;
  options.entries = EntryAddresses();
  agent.server = std::make_unique<AgentServer>(
      options, agent.connector.get(), agent.target_client.get(), agent.worker.get(), &metrics_);
}

std::string DevCluster::CallerUrl(size_t entry) const {
  return LoopbackUrl(entries_[entry].server->caller_port());
}

std::string DevCluster::OperatorUrl(size_t entry) const {
  return LoopbackUrl(entries_[entry].server->operator_port());
}

std::vector<std::string> DevCluster::EntryAddresses() const {
  std::vector<std::string> addresses;
  for (const DevEntry& entry : entries_) {
    if (!entry.gate) continue;
    addresses.push_back(std::string(kLoopback) + ":" + std::to_string(entry.gate->port()));
  }
  return addresses;
}

}  // namespace turmericshift
