#include "main/benches/config_propagation.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <thread>

#include "core/clock.h"
#include "core/digest.h"
#include "core/error.h"
#include "core/thread.h"
#include "modules/stand_ins/direct_connector.h"
#include "modules/stand_ins/memory_log.h"
#include "servers/agent/start_guard.h"
#include "servers/entry/entry_server.h"

namespace turmericshift {
namespace {

constexpr Duration kHeartbeatInterval = std::chrono::seconds(1);
constexpr Duration kLongPollWait = std::chrono::milliseconds(500);
constexpr Duration kTimeout = std::chrono::seconds(30);
constexpr int kDriverThreads = 4;
constexpr size_t kReaderStackBytes = size_t{128} * 1024;

std::string Document(int number) {
  std::string text = "[environment]\ndeployment = bench\n";
  for (const char* zone : {"a", "b", "c"}) {
    text += std::string("[availability_zone ") + zone +
            "]\nstate = in\nworkers = 500\nworkers_per_rack = 4\nprocessors_per_worker = 64\n"
            "accelerators_per_worker = 8\nmemory_per_worker = 128GiB\n";
  }
  return text + "# " + std::to_string(number) + "\n";
}

ConfigPublished Published(int64_t version) {
  ConfigPublished record;
  record.id = NewRecordId();
  record.version = version;
  record.parent = version - 1;
  record.text = Document(static_cast<int>(version));
  record.digest = Digest(record.text);
  return record;
}

// Counts the reads of the log.
class CountingLog : public MemoryLog {
 public:
  LogBatch Read(const std::string& stream, Offset from, Duration wait, Duration timeout) override {
    reads_.fetch_add(1);
    return MemoryLog::Read(stream, from, wait, timeout);
  }
  int64_t reads() const { return reads_.load(); }

 private:
  std::atomic<int64_t> reads_{0};
};

// The part of an agent that receives documents: its start guard and its sessions with three
// entries.
struct FakeAgent {
  StartGuard guard{"a"};
  AgentHello hello;
  std::vector<std::shared_ptr<EntryPort>> ports;
  std::atomic<int64_t> in_force_nanos{0};
};

struct ScheduledHeartbeat {
  Time due{};
  FakeAgent* agent = nullptr;
  size_t port = 0;
  bool operator<(const ScheduledHeartbeat& other) const { return due > other.due; }
};

// Sends the heartbeats of a group of agents until `done`, each session with its own phase, and
// records when an agent has `version` in force.
void SendHeartbeats(std::priority_queue<ScheduledHeartbeat> heartbeats, int64_t version,
                    const std::atomic<bool>* done) {
  while (!done->load() && !heartbeats.empty()) {
    ScheduledHeartbeat heartbeat = heartbeats.top();
    heartbeats.pop();
    std::this_thread::sleep_until(heartbeat.due);
    const Time sent = DefaultClock().Now();
    AgentHeartbeat message;
    message.config_version = heartbeat.agent->guard.config_version();
    heartbeat.agent->guard.HandleHeartbeatReply(
        heartbeat.agent->ports[heartbeat.port]->Heartbeat(message, kHeartbeatInterval), sent);
    if (heartbeat.agent->guard.config_version() >= version &&
        heartbeat.agent->in_force_nanos.load() == 0) {
      heartbeat.agent->in_force_nanos.store(DefaultClock().Now().time_since_epoch().count());
    }
    heartbeat.due += kHeartbeatInterval;
    heartbeats.push(heartbeat);
  }
}

void AwaitAll(const std::function<bool()>& condition) {
  const Time deadline = DefaultClock().Now() + kTimeout;
  while (!condition()) {
    if (DefaultClock().Now() > deadline) throw Error(ErrorKind::kDeadlineExceeded, "not in force");
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

}  // namespace

double PropagationResult::Quantile(double share) const {
  std::vector<double> sorted = delays;
  std::sort(sorted.begin(), sorted.end());
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted.at(static_cast<size_t>(share * last));
}

PropagationResult PropagateByHeartbeats(int agents, uint64_t seed) {
  CountingLog log;
  MetricsRegistry metrics;
  DirectConnector connector;
  std::vector<std::unique_ptr<EntryServer>> entries;
  entries.reserve(3);
  for (const std::string zone : {"a", "b", "c"}) {
    EntryOptions options;
    options.process = "entry-" + zone;
    options.zone = zone;
    entries.push_back(std::make_unique<EntryServer>(options, &log, &metrics));
    connector.Attach(zone, entries.back().get());
    entries.back()->AnnounceAddress(zone + ":1");
  }
  log.Append("config", EncodeRecords({Published(1)}), {});
  std::minstd_rand random(static_cast<std::minstd_rand::result_type>(seed));
  std::uniform_int_distribution<int64_t> phase(0, kHeartbeatInterval.count());
  const Time begun = DefaultClock().Now();
  std::vector<std::unique_ptr<FakeAgent>> fake_agents;
  std::vector<std::priority_queue<ScheduledHeartbeat>> heartbeats(kDriverThreads);
  for (int index = 0; index < agents; ++index) {
    fake_agents.push_back(std::make_unique<FakeAgent>());
    FakeAgent* agent = fake_agents.back().get();
    agent->hello = {"agent-" + std::to_string(index), "i", "a", "r", "", {}};
    for (const std::string zone : {"a", "b", "c"}) {
      agent->ports.push_back(connector.Connect(zone, agent->hello, nullptr));
      heartbeats[static_cast<size_t>(index % kDriverThreads)].push(
          {begun + Duration(phase(random)), agent, agent->ports.size() - 1});
    }
  }
  std::atomic<bool> done{false};
  std::vector<Thread> drivers;
  drivers.reserve(heartbeats.size());
  for (auto& queue : heartbeats) {
    drivers.emplace_back("bench-beats", [&queue, &done] { SendHeartbeats(queue, 2, &done); });
  }
  PropagationResult result;
  try {
    AwaitAll([&] {
      return std::all_of(fake_agents.begin(), fake_agents.end(),
                         [](const auto& agent) { return agent->guard.config_version() == 1; });
    });
    const int64_t reads = log.reads();
    const Time idle_start = DefaultClock().Now();
    std::this_thread::sleep_for(kHeartbeatInterval);
    result.log_reads_per_second =
        static_cast<double>(log.reads() - reads) / Seconds(DefaultClock().Now() - idle_start);
    const Time published_at = DefaultClock().Now();
    log.Append("config", EncodeRecords({Published(2)}), {});
    AwaitAll([&] {
      return std::all_of(fake_agents.begin(), fake_agents.end(),
                         [](const auto& agent) { return agent->in_force_nanos.load() != 0; });
    });
    for (const auto& agent : fake_agents) {
      const Time in_force{Duration(agent->in_force_nanos.load())};
      result.delays.push_back(Seconds(in_force - published_at));
    }
  } catch (...) {
    done.store(true);
    throw;
  }
  done.store(true);
  drivers.clear();
  return result;
}

PropagationResult PropagateByLogReaders(int agents) {
  CountingLog log;
  std::atomic<bool> done{false};
  std::atomic<int> reading{0};
  std::vector<std::atomic<int64_t>> in_force(static_cast<size_t>(agents));
  PropagationResult result;
  Time published_at{};
  {
    std::vector<Thread> readers;
    readers.reserve(in_force.size());
    for (std::atomic<int64_t>& agent_in_force : in_force) {
      const auto read = [&log, &done, &reading, &agent_in_force] {
        bool counted = false;
        Offset next = 0;
        while (!done.load()) {
          if (!std::exchange(counted, true)) reading.fetch_add(1);
          const LogBatch batch = log.Read("config", next, kLongPollWait, kLongPollWait);
          next += static_cast<Offset>(batch.entries.size());
          if (!batch.entries.empty()) {
            for (const LogEntry& entry : batch.entries) DecodeRecords(entry.bytes);
            agent_in_force.store(DefaultClock().Now().time_since_epoch().count());
          }
        }
      };
      readers.emplace_back("bench-read", read, kReaderStackBytes);
    }
    AwaitAll([&] { return reading.load() == agents; });
    const int64_t reads = log.reads();
    const Time idle_start = DefaultClock().Now();
    std::this_thread::sleep_for(2 * kLongPollWait);
    result.log_reads_per_second =
        static_cast<double>(log.reads() - reads) / Seconds(DefaultClock().Now() - idle_start);
    published_at = DefaultClock().Now();
    log.Append("config", EncodeRecords({Published(1)}), {});
    AwaitAll([&] {
      return std::all_of(in_force.begin(), in_force.end(),
                         [](const auto& each) { return each.load() != 0; });
    });
    done.store(true);
  }
  for (const auto& each : in_force) {
    result.delays.push_back(Seconds(Time{Duration(each.load())} - published_at));
  }
  return result;
}

PropagationResult PropagateByRelays(int agents, uint64_t seed) {
  constexpr int kRootAgents = 10;
  constexpr int kFanOut = 3;
  std::minstd_rand random(static_cast<std::minstd_rand::result_type>(seed));
  std::uniform_real_distribution<double> wait(0, Seconds(kHeartbeatInterval));
  PropagationResult result;
  for (int index = 0; index < agents; ++index) {
    // An agent receives the document with its next heartbeat after its parent has received it.
    const double parent = index < kRootAgents
                              ? 0
                              : result.delays[static_cast<size_t>((index - kRootAgents) / kFanOut)];
    result.delays.push_back(parent + wait(random));
  }
  return result;
}

}  // namespace turmericshift
