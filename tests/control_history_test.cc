// Runs operators, entries and agents under faults and checks two invariants: configuration versions
// never decrease, and nothing starts in a zone later than the bound after the zone was taken out.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <random>

#include "core/digest.h"
#include "core/http_client.h"
#include "core/secret.h"
#include "core/thread.h"
#include "main/register_modules.h"
#include "modules/stand_ins/direct_connector.h"
#include "modules/stand_ins/faulty_log.h"
#include "servers/agent/agent_server.h"
#include "servers/entry/entry_server.h"

namespace turmericshift {
namespace {

using std::chrono::milliseconds;

constexpr Duration kZoneOutBound = milliseconds(1000);
constexpr int kAgentsPerZone = 2;
constexpr Duration kTestDuration = std::chrono::seconds(7);

std::string Zone(const std::string& name) {
  return "[availability_zone " + name +
         "]\nstate = in\nworkers = 1\nworkers_per_rack = 1\nprocessors_per_worker = 4\n"
         "accelerators_per_worker = 8\nmemory_per_worker = 1GiB\n";
}

// A period in which zone "a" was certainly out: from the operator's answer to the next order to
// bring the zone in.
struct ZoneExit {
  Time answered{};
  Time in_ordered = Time::max();
};

class ControlHistoryTest : public testing::Test {
 protected:
  struct Entry {
    std::string zone;
    std::unique_ptr<FaultyLog> log;
    std::unique_ptr<EntryServer> server;
  };

  ControlHistoryTest() {
    RegisterModules();
    for (const std::string zone : {"a", "b", "c"}) {
      entries_.push_back({zone, std::make_unique<FaultyLog>(&log_), nullptr});
      StartEntry(entries_.size() - 1);
    }
    ConfigPublished first;
    first.id = NewRecordId();
    first.version = 1;
    first.text = "[environment]\ndeployment = test\nzone_out_bound = 1s\n" + Zone("a") + Zone("b") +
                 Zone("c");
    first.digest = Digest(first.text);
    log_.Append("config", EncodeRecords({first}), {});
    for (const std::string zone : {"a", "b", "c"}) {
      for (int index = 0; index < kAgentsPerZone; ++index) StartAgent(zone, index);
    }
  }

  ~ControlHistoryTest() override {
    // Entries end first: they drop silent agents, to which they hold non-owning pointers here.
    for (size_t index = 0; index < entries_.size(); ++index) StopEntry(index);
    agents_.clear();
  }

  static std::string Address(const Entry& entry) { return "entry-" + entry.zone + ":1"; }

  void StartEntry(size_t index) {
    Entry& entry = entries_[index];
    EntryOptions options;
    options.process = "entry-" + entry.zone;
    options.zone = entry.zone;
    options.operator_token = "token";
    entry.server = std::make_unique<EntryServer>(options, entry.log.get(), &metrics_);
    connector_.Attach(Address(entry), entry.server.get());
    zone_a_connector_.Attach(Address(entry), entry.server.get());
    entry.server->AnnounceAddress(Address(entry));
  }

  void StopEntry(size_t index) {
    connector_.Detach(Address(entries_[index]));
    zone_a_connector_.Detach(Address(entries_[index]));
    entries_[index].server.reset();
  }

  void StartAgent(const std::string& zone, int index) {
    AgentOptions options;
    options.hello = {"agent-" + zone + std::to_string(index), RandomHex(4), zone, "r", "", {}};
    for (const Entry& entry : entries_) options.entries.push_back(Address(entry));
    options.heartbeat = milliseconds(50);
    DirectConnector* connector = zone == "a" ? &zone_a_connector_ : &connector_;
    agents_.push_back(
        std::make_unique<AgentServer>(options, connector, nullptr, nullptr, &metrics_));
  }

  // Orders a state change of zone "a" at the given entry; returns whether it was certainly
  // accepted.
  bool OrderZoneState(size_t entry, bool in) {
    HttpCall call;
    call.method = "POST";
    call.url = "http://127.0.0.1:" + std::to_string(entries_[entry].server->operator_port()) +
               "/v1/zones/a/" + (in ? "in" : "out") + "?wait_ms=0";
    call.headers = {{"Authorization", "Bearer token"}};
    try {
      return PerformHttp(call).status == 201;
    } catch (const Error&) {
      return false;
    }
  }

  // The loop of one operator, who sends orders to random entries. Operators act independently, but
  // their orders are serialized, so that the recorded periods out are certain.
  void RunOperator(uint64_t seed) {
    std::minstd_rand random(static_cast<std::minstd_rand::result_type>(seed));
    while (!done_.load()) {
      const size_t entry = random() % entries_.size();
      const bool in = random() % 2 == 0;
      std::unique_lock<std::mutex> lock(orders_);
      if (in) {
        const Time now = DefaultClock().Now();
        for (ZoneExit& exit : exits_) exit.in_ordered = std::min(exit.in_ordered, now);
      }
      const bool accepted = OrderZoneState(entry, in);
      if (accepted && !in) exits_.push_back({DefaultClock().Now(), Time::max()});
      lock.unlock();
      Sleep(milliseconds(random() % 800));
    }
  }

  // Injects outages, lost answers and failed reads into the log of each entry, partitions between
  // the agents of zone "a" and single entries, and restarts of entries. Some last longer than the
  // bound.
  void InjectFaults() {
    std::minstd_rand random(11);
    while (!done_.load()) {
      for (Entry& entry : entries_) {
        LogFaults faults;
        faults.reads_fail = random() % 2 == 0;
        faults.appends_fail = random() % 4 == 0;
        faults.append_answers_lost = random() % 3 == 0;
        entry.log->SetFaults(faults);
        if (random() % 2 == 0) zone_a_connector_.Detach(Address(entry));
      }
      Sleep(milliseconds(random() % 2500));
      const std::lock_guard<std::mutex> lock(orders_);
      for (Entry& entry : entries_) {
        entry.log->SetFaults({});
        zone_a_connector_.Attach(Address(entry), entry.server.get());
      }
      if (random() % 4 == 0) {
        const size_t index = random() % entries_.size();
        StopEntry(index);
        StartEntry(index);
      }
      Sleep(milliseconds(random() % 400));
    }
  }

  // The scheduler of one agent: repeatedly asks the guard, as gangs do, and records each start.
  void RunScheduler(const AgentServer* agent) {
    int64_t version = 0;
    const bool counts = agent->zone() == "a";
    while (!done_.load()) {
      const int64_t present = agent->guard().config_version();
      if (present < version) version_decreased_.store(true);
      version = present;
      const Time now = DefaultClock().Now();
      try {
        agent->guard().RequireStartAllowed(now);
        if (!counts) continue;
        const std::lock_guard<std::mutex> lock(starts_mutex_);
        starts_.push_back(now);
      } catch (const Error&) {
        // Starts are not allowed at present.
      }
      Sleep(milliseconds(5));
    }
  }

  void Sleep(Duration duration) {
    std::unique_lock<std::mutex> lock(sleep_mutex_);
    wakeup_.wait_for(lock, duration, [this] { return done_.load(); });
  }

  void Finish() {
    {
      const std::lock_guard<std::mutex> lock(sleep_mutex_);
      done_.store(true);
    }
    wakeup_.notify_all();
  }

  MemoryLog log_;
  MetricsRegistry metrics_;
  DirectConnector connector_;
  DirectConnector zone_a_connector_;
  std::vector<Entry> entries_;
  std::vector<std::unique_ptr<AgentServer>> agents_;
  std::mutex orders_;
  std::vector<ZoneExit> exits_;
  std::mutex starts_mutex_;
  std::vector<Time> starts_;
  std::atomic<bool> version_decreased_{false};
  std::mutex sleep_mutex_;
  std::condition_variable wakeup_;
  std::atomic<bool> done_{false};
};

// Operators take a zone out and in while entries restart and lose the log, singly and together. A
// task that starts too long after the zone was taken out would run into the maintenance.
TEST_F(ControlHistoryTest, NoStartsAfterZoneOutBoundAndVersionsNeverDecrease) {
  {
    std::vector<Thread> threads;
    threads.emplace_back("operator", [this] { RunOperator(1); });
    threads.emplace_back("operator", [this] { RunOperator(2); });
    threads.emplace_back("faults", [this] { InjectFaults(); });
    for (const auto& agent : agents_) {
      const AgentServer* raw = agent.get();
      threads.emplace_back("starts", [this, raw] { RunScheduler(raw); });
    }
    Sleep(kTestDuration);
    Finish();
  }
  EXPECT_FALSE(version_decreased_.load());
  // A history without exits or starts would prove nothing.
  EXPECT_FALSE(exits_.empty());
  EXPECT_FALSE(starts_.empty());
  for (const ZoneExit& exit : exits_) {
    const auto late = std::find_if(starts_.begin(), starts_.end(), [&exit](Time start) {
      return start > exit.answered + kZoneOutBound && start < exit.in_ordered;
    });
    EXPECT_EQ(late, starts_.end())
        << "a task started later than the bound after the zone was taken out";
  }
}

// The agents reach two entries that have lost the log, but not the third entry, through which
// operators take the zone out. If the agents took the two entries as proof that the log is down, a
// task would start in a zone that is under maintenance.
TEST_F(ControlHistoryTest, AgentsIsolatedFromTheOnlyEntryThatReadsTheLogStartNothing) {
  const auto may_start = [](const AgentServer& agent) {
    try {
      agent.guard().RequireStartAllowed(DefaultClock().Now());
      return true;
    } catch (const Error&) {
      return false;
    }
  };
  const auto any_in_zone_a = [&] {
    return std::any_of(agents_.begin(), agents_.end(), [&](const auto& agent) {
      return agent->zone() == "a" && may_start(*agent);
    });
  };
  const auto all_received = [&] {
    return std::all_of(agents_.begin(), agents_.end(), [&](const auto& agent) {
      return agent->guard().entry_statements(DefaultClock().Now()).size() == entries_.size();
    });
  };
  // An agent does not consider entries that it never received a report from; see
  // docs/notes/zone-out.md.
  while (!any_in_zone_a() || !all_received()) Sleep(milliseconds(10));
  // The order must go to an entry that has read the document.
  while (!entries_[2].server->ready()) Sleep(milliseconds(10));
  for (size_t index : {0, 1}) entries_[index].log->SetFaults({.reads_fail = true});
  zone_a_connector_.Detach(Address(entries_[2]));
  ASSERT_TRUE(OrderZoneState(2, false));
  const Time answered = DefaultClock().Now();
  // Starts are allowed until the bound after the answer, and forbidden from then on.
  while (DefaultClock().Now() <= answered + kZoneOutBound) Sleep(milliseconds(10));
  while (DefaultClock().Now() <= answered + 3 * kZoneOutBound) {
    ASSERT_FALSE(any_in_zone_a());
    Sleep(milliseconds(10));
  }
  // The third entry is reachable again: the agents learn that the zone is out and start nothing.
  zone_a_connector_.Attach(Address(entries_[2]), entries_[2].server.get());
  const auto all_know = [&] {
    return std::all_of(agents_.begin(), agents_.end(),
                       [](const auto& agent) { return agent->guard().config_version() == 2; });
  };
  while (!all_know()) Sleep(milliseconds(10));
  EXPECT_FALSE(any_in_zone_a());
}

}  // namespace
}  // namespace turmericshift
