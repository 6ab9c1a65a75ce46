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
#include "main/benches/config_propagation.h"
#include "modules/stand_ins/direct_connector.h"
#include "modules/stand_ins/memory_log.h"
#include "servers/agent/start_guard.h"
#include "servers/entry/entry_server.h"

namespace turmericshift {
namespace {

constexpr Duration kHeartbeat = std::chrono::seconds(1);
constexpr Duration kReadWait = std::chrono::milliseconds(500);
constexpr Duration kLimit = std::chrono::seconds(30);
constexpr int kDrivers = 4;
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

// Counts what it is asked for.
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

// An agent as far as documents go: its guard and three sessions.
struct FakeAgent {
  StartGuard guard{"a"};
  AgentHello hello;
  std::vector<std::shared_ptr<EntryPort>> ports;
  std::atomic<int64_t> in_force_nanos{0};
};

struct Beat {
  Time due{};
  FakeAgent* agent = nullptr;
  size_t port = 0;
  bool operator<(const Beat& other) const { return due > other.due; }
};

// Sends the heartbeats of some agents, each session at a phase of its own.
void Drive(std::priority_queue<Beat> beats, int64_t version, const std::atomic<bool>* done) {
  while (!done->load() && !beats.empty()) {
    Beat beat = beats.top();
    beats.pop();
    std::this_thread::sleep_until(beat.due);
    const Time sent = DefaultClock().Now();
    AgentBeat own;
    own.config_version = beat.agent->guard.config_version();
    beat.agent->guard.HandleHeartbeatReply(beat.agent->ports[beat.port]->Heartbeat(own, kHeartbeat),
                                           sent);
    if (beat.agent->guard.config_version() >= version && beat.agent->in_force_nanos.load() == 0) {
      beat.agent->in_force_nanos.store(DefaultClock().Now().time_since_epoch().count());
    }
    beat.due += kHeartbeat;
    beats.push(beat);
  }
}

void AwaitAll(const std::function<bool()>& holds) {
  const Time limit = DefaultClock().Now() + kLimit;
  while (!holds()) {
    if (DefaultClock().Now() > limit) throw Error(ErrorKind::kDeadlineExceeded, "not spread");
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

}  // namespace

double SpreadResult::Quantile(double share) const {
  std::vector<double> sorted = delays;
  std::sort(sorted.begin(), sorted.end());
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted.at(static_cast<size_t>(share * last));
}

SpreadResult SpreadByHeartbeats(int agents, uint64_t seed) {
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
  std::uniform_int_distribution<int64_t> phase(0, kHeartbeat.count());
  const Time begun = DefaultClock().Now();
  std::vector<std::unique_ptr<FakeAgent>> fleet;
  std::vector<std::priority_queue<Beat>> beats(kDrivers);
  for (int index = 0; index < agents; ++index) {
    fleet.push_back(std::make_unique<FakeAgent>());
    FakeAgent* agent = fleet.back().get();
    agent->hello = {"agent-" + std::to_string(index), "i", "a", "r", "", {}};
    for (const std::string zone : {"a", "b", "c"}) {
      agent->ports.push_back(connector.Connect(zone, agent->hello, nullptr));
      beats[static_cast<size_t>(index % kDrivers)].push(
          {begun + Duration(phase(random)), agent, agent->ports.size() - 1});
    }
  }
  std::atomic<bool> done{false};
  std::vector<Thread> drivers;
  drivers.reserve(beats.size());
  for (auto& queue : beats) {
    drivers.emplace_back("bench-beats", [&queue, &done] { Drive(queue, 2, &done); });
  }
  SpreadResult result;
  try {
    AwaitAll([&] {
      return std::all_of(fleet.begin(), fleet.end(),
                         [](const auto& agent) { return agent->guard.config_version() == 1; });
    });
    const int64_t reads = log.reads();
    const Time quiet = DefaultClock().Now();
    std::this_thread::sleep_for(kHeartbeat);
    result.log_reads_per_second =
        static_cast<double>(log.reads() - reads) / Seconds(DefaultClock().Now() - quiet);
    const Time accepted = DefaultClock().Now();
    log.Append("config", EncodeRecords({Published(2)}), {});
    AwaitAll([&] {
      return std::all_of(fleet.begin(), fleet.end(),
                         [](const auto& agent) { return agent->in_force_nanos.load() != 0; });
    });
    for (const auto& agent : fleet) {
      const Time in_force{Duration(agent->in_force_nanos.load())};
      result.delays.push_back(Seconds(in_force - accepted));
    }
  } catch (...) {
    done.store(true);
    throw;
  }
  done.store(true);
  drivers.clear();
  return result;
}

SpreadResult SpreadByLogReaders(int agents) {
  CountingLog log;
  std::atomic<bool> done{false};
  std::atomic<int> reading{0};
  std::vector<std::atomic<int64_t>> in_force(static_cast<size_t>(agents));
  SpreadResult result;
  Time accepted{};
  {
    std::vector<Thread> readers;
    readers.reserve(in_force.size());
    for (std::atomic<int64_t>& mine : in_force) {
      const auto read = [&log, &done, &reading, &mine] {
        bool counted = false;
        Offset next = 0;
        while (!done.load()) {
          if (!std::exchange(counted, true)) reading.fetch_add(1);
          const LogBatch batch = log.Read("config", next, kReadWait, kReadWait);
          next += static_cast<Offset>(batch.entries.size());
          if (!batch.entries.empty()) {
            for (const LogEntry& entry : batch.entries) DecodeRecords(entry.bytes);
            mine.store(DefaultClock().Now().time_since_epoch().count());
          }
        }
      };
      readers.emplace_back("bench-read", read, kReaderStackBytes);
    }
    AwaitAll([&] { return reading.load() == agents; });
    const int64_t reads = log.reads();
    const Time quiet = DefaultClock().Now();
    std::this_thread::sleep_for(2 * kReadWait);
    result.log_reads_per_second =
        static_cast<double>(log.reads() - reads) / Seconds(DefaultClock().Now() - quiet);
    accepted = DefaultClock().Now();
    log.Append("config", EncodeRecords({Published(1)}), {});
    AwaitAll([&] {
      return std::all_of(in_force.begin(), in_force.end(),
                         [](const auto& each) { return each.load() != 0; });
    });
    done.store(true);
  }
  for (const auto& each : in_force) {
    result.delays.push_back(Seconds(Time{Duration(each.load())} - accepted));
  }
  return result;
}

SpreadResult SpreadByRelays(int agents, uint64_t seed) {
  constexpr int kToldByEntries = 10;
  constexpr int kChildren = 3;
  std::minstd_rand random(static_cast<std::minstd_rand::result_type>(seed));
  std::uniform_real_distribution<double> wait(0, Seconds(kHeartbeat));
  SpreadResult result;
  for (int index = 0; index < agents; ++index) {
    // Each level waits for its own next heartbeat after its parent had the document.
    const double parent =
        index < kToldByEntries
            ? 0
            : result.delays[static_cast<size_t>((index - kToldByEntries) / kChildren)];
    result.delays.push_back(parent + wait(random));
  }
  return result;
}

}  // namespace turmericshift
