// Tests that records of other writers, which may contain anything, end no process and hide no other
// record.
#include <gtest/gtest.h>

#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "core/error.h"
#include "core/thread.h"
#include "modules/stand_ins/memory_keyed_log.h"
#include "platform/operator_record_decoder.h"
#include "servers/pool/job_records.h"
#include "servers/pool/pool_view.h"

namespace turmericshift::pool {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(1);

std::string NestedLists() {
  constexpr size_t kDepth = 60'000;
  return std::string(kDepth, '[') + std::string(kDepth, ']');
}

std::string PlannerWith(const std::string& epoch, const std::string& address,
                        const std::string& more) {
  return R"({"epoch":)" + epoch + R"(,"node":"n","address":)" + address + more + "}";
}

// Values that no process of this program writes.
std::vector<std::string> ForeignValues() {
  const std::string address = R"("127.0.0.1:9")";
  const std::string nested = NestedLists();
  std::vector<std::string> values = {nested,
                                     "{",
                                     "null",
                                     "[]",
                                     "7",
                                     "\"text\"",
                                     "{}",
                                     "\xff\xfe\x01",
                                     "{\"node\":\"\xff\"}",
                                     PlannerWith("1e999", address, ""),
                                     PlannerWith("1e300", address, ""),
                                     PlannerWith("123456789012345678901234567890", address, ""),
                                     PlannerWith("4611686018427387904", address, ""),
                                     PlannerWith("-1", address, ""),
                                     PlannerWith("1.5", address, ""),
                                     PlannerWith("\"1\"", address, ""),
                                     PlannerWith("16384", "7", ""),
                                     PlannerWith("16384", R"("127.0.0.1:99999")", ""),
                                     PlannerWith("16384", R"("127.0.0.1")", ""),
                                     PlannerWith("16384", R"("127.0.0.1:-1")", ""),
                                     PlannerWith("16384", nested, ""),
                                     PlannerWith(nested, address, "")};
  const std::string running = R"(,"state":"running")";
  for (const char* field : {"former", "relays", "done", "failures", "checkpoints", "steps", "terms",
                            "state", "queue", "after", "planning_capacity", "zone"}) {
    const std::string name = std::string(R"(,")") + field + R"(":)";
    for (const std::string& value : {nested, std::string("[7]"), std::string("1e999"),
                                     std::string("{}"), "[" + nested + "]"}) {
      values.push_back(PlannerWith("16384", address, running + std::string(name).append(value)));
    }
  }
  return values;
}

// Decodes `value` with `decode` on a thread like those of the followers and ends the process; any
// end but this one is a crash.
template <typename Decode>
[[noreturn]] void DecodeAndExit(const std::string& value, Decode&& decode) {
  Thread follower("follow", [&] {
    try {
      decode(value);
    } catch (const Error&) {
      // Refused.
    }
  });
  follower.Join();
  std::_Exit(0);
}

// Guards against processes that end, and end again after each restart, because of one record.
TEST(ForeignRecords, EndNoProcessThatDecodesThem) {
  testing::FLAGS_gtest_death_test_style = "fast";
  for (const std::string& value : ForeignValues()) {
    const auto expect_no_crash = [&](const char* what, auto&& decode) {
      EXPECT_EXIT(DecodeAndExit(value, decode), testing::ExitedWithCode(0), "")
          << what << ": " << value.substr(0, 200);
    };
    expect_no_crash("planner", [](const std::string& bytes) { DecodePlanner(bytes); });
    expect_no_crash("entry", [](const std::string& bytes) { DecodeEntry(bytes); });
    expect_no_crash("job", [](const std::string& bytes) { DecodeSpec("j", bytes); });
    expect_no_crash("progress", [](const std::string& bytes) { DecodeProgress(bytes); });
  }
}

template <typename Condition>
bool Eventually(Condition&& condition) {
  const Time end = LeaseClock().Now() + std::chrono::seconds(30);
  while (LeaseClock().Now() < end) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return false;
}

std::string OperatorsTopic() { return platform::OperatorRecordDecoder().topic(); }

// Writes each foreign value under each of `keys`.
void AppendForeignValues(const std::string& topic, const std::vector<std::string>& keys,
                         KeyedLog* log) {
  for (const std::string& key : keys) {
    for (const std::string& value : ForeignValues()) {
      log->Append(topic, {{key, value, kNoOffset}}, {}, kTimeout);
    }
  }
}

// A topic with foreign values, then the records that each view must show although they follow.
struct ForeignTopics {
  ForeignTopics() {
    const std::vector<std::string> members = {"agent/ghost", "entry/ghost", "planner", "odd", ""};
    AppendForeignValues(kMembersTopic, members, &log);
    AppendForeignValues(kPlannerTopic, {"planner", "odd"}, &log);
    AppendForeignValues(
        kWorkTopic, {"planner", "j/ghost", "p/ghost", "t/ghost/0", "t/ghost", "l/speeds", "odd"},
        &log);
    AppendForeignValues(OperatorsTopic(), {"config", "evacuate/", "odd"}, &log);
    const std::string planner = EncodePlanner({16384, "sound", "127.0.0.1:9"});
    const EntryRecord entry = {"sound", "a", "127.0.0.1:9", 1};
    log.Append(kMembersTopic, {{"agent/sound", "a"}, {"planner", planner}}, {}, kTimeout);
    log.Append(kMembersTopic, {{"entry/sound", EncodeEntry(entry)}}, {}, kTimeout);
    log.Append(kPlannerTopic, {{"planner", planner}}, {}, kTimeout);
    JobSpec job;
    job.id = "sound";
    job.steps.emplace_back();
    log.Append(kWorkTopic, {{"j/sound", EncodeSpec(job)}, {"planner", planner}}, {}, kTimeout);
    log.Append(OperatorsTopic(), {{"config", R"({"version":7})"}}, {}, kTimeout);
  }
  MemoryKeyedLog log;
};

// Guards against a follower that ends or stays behind a record that it can't read, when it starts
// from the newest records and when it reads the history.
TEST(ForeignRecords, HideNoRecordFromFollowers) {
  for (const bool from_history : {false, true}) {
    MemoryKeyedLog empty;
    ForeignTopics topics;
    // A follower that begins before the records reads them one by one.
    MemoryKeyedLog* log = from_history ? &empty : &topics.log;
    MembersView members(log, std::chrono::milliseconds(50));
    PlannerView planner(log, std::chrono::milliseconds(50), Duration::zero());
    WorkView work(log);
    OperatorView operators(log, std::make_unique<platform::OperatorRecordDecoder>());
    if (from_history) {
      for (const std::string& topic : {std::string(kMembersTopic), std::string(kPlannerTopic),
                                       std::string(kWorkTopic), OperatorsTopic()}) {
        const KeyedBatch batch = topics.log.Read(topic, 0, Duration::zero(), kTimeout);
        for (const KeyedRecord& record : batch.records) log->Append(topic, {record}, {}, kTimeout);
      }
    }
    EXPECT_TRUE(Eventually([&] {
      return members.planner().node == "sound" && members.entries().count("sound") > 0 &&
             members.agents().count("sound") > 0;
    })) << from_history;
    EXPECT_EQ(members.entries().count("ghost"), 0U) << from_history;
    EXPECT_TRUE(Eventually([&] { return planner.planner().node == "sound"; })) << from_history;
    EXPECT_TRUE(Eventually([&] { return work.StateOf("sound").has_value(); })) << from_history;
    EXPECT_EQ(work.leadership().planner.node, "sound") << from_history;
    EXPECT_TRUE(Eventually([&] { return operators.state()->config.version == 7; })) << from_history;
  }
}

// Guards against following an announcement that no planner can have made.
TEST(ForeignRecords, NameNoPlannerWithAnImpossibleEpochOrAddress) {
  const int64_t limit = membership::kEpochLimit;
  const auto names = [](int64_t epoch, const std::string& address) {
    MemoryKeyedLog log;
    const PlannerRecord record = {epoch, "n", address};
    log.Append(kPlannerTopic, {{kPlannerKey, EncodePlanner(record)}}, {}, kTimeout);
    const PlannerView view(&log, std::chrono::milliseconds(10), Duration::zero());
    EXPECT_TRUE(Eventually([&] { return view.first_epoch().has_value(); }));
    return view.planner().node == "n";
  };
  EXPECT_TRUE(names(1, "127.0.0.1:1"));
  EXPECT_TRUE(names(limit - 1, "127.0.0.1:65535"));
  EXPECT_FALSE(names(limit, "127.0.0.1:1"));
  EXPECT_FALSE(names(int64_t{1} << 62, "127.0.0.1:1"));
  EXPECT_FALSE(names(0, "127.0.0.1:1"));
  EXPECT_FALSE(names(-1, "127.0.0.1:1"));
  for (const char* address : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536"}) {
    EXPECT_FALSE(names(1, address)) << address;
  }
}

// Guards against readers that keep a foreign announcement because of its higher epoch.
TEST(ForeignRecords, AreReplacedByTheNewestAnnouncement) {
  MemoryKeyedLog log;
  const PlannerRecord foreign = {11 * 16384, "ghost", "127.0.0.1:9"};
  const PlannerRecord genuine = {16384, "sound", "127.0.0.1:9"};
  for (const PlannerRecord& record : {foreign, genuine}) {
    for (const char* topic : {kPlannerTopic, kMembersTopic}) {
      log.Append(topic, {{kPlannerKey, EncodePlanner(record)}}, {}, kTimeout);
    }
  }
  const PlannerView planner(&log, std::chrono::milliseconds(10), Duration::zero());
  const MembersView members(&log, std::chrono::milliseconds(10));
  EXPECT_TRUE(Eventually([&] { return planner.planner().node == "sound"; }));
  EXPECT_TRUE(Eventually([&] { return members.membership()->Announces(genuine); }));
}

}  // namespace
}  // namespace turmericshift::pool
