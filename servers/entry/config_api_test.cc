#include "servers/entry/config_api.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "core/http_client.h"
#include "main/register_modules.h"
#include "modules/stand_ins/faulty_log.h"
#include "servers/entry/entry_server.h"

namespace turmericshift {
namespace {

constexpr const char* kToken = "operator-token-1234";
constexpr const char* kPromotionKey = "promotion-key-5678";

std::string Document(const std::string& comment = "") {
  return "[environment]\ndeployment = test\n[availability_zone a]\nstate = in\nworkers = 1\n"
         "workers_per_rack = 1\nprocessors_per_worker = 4\naccelerators_per_worker = 8\n"
         "memory_per_worker = 1GiB\n" +
         comment;
}

struct Answer {
  int status = 0;
  nlohmann::json json;
};

// An entry of an environment, with a connection of its own to the environment's log.
struct TestEntry {
  TestEntry(LogService* log, const std::string& environment, const std::string& process)
      : log_link(log) {
    RegisterModules();
    EntryOptions options;
    options.process = process;
    options.zone = "a";
    options.environment = environment;
    options.promotion_key = kPromotionKey;
    if (environment == "production") options.trial = "trial";
    options.operator_token = kToken;
    server = std::make_unique<EntryServer>(options, &log_link, &metrics);
    server->AnnounceAddress(process + ":1");
  }

  Answer Call(const std::string& method, const std::string& path,
              const std::string& body = "") const {
    HttpCall call;
    call.method = method;
    call.url = "http://127.0.0.1:" + std::to_string(server->operator_port()) + path;
    call.headers = {{"Authorization", std::string("Bearer ") + kToken}};
    call.body = body;
    const HttpReply reply = PerformHttp(call);
    return {reply.status, nlohmann::json::parse(reply.body, nullptr, false)};
  }

  // Sends a heartbeat of an agent in zone a that has `version` in force.
  void SendHeartbeat(int64_t version) {
    const AgentHello hello{"worker-1", "i", "a", "r", "", {}};
    if (!port) port = server->OpenAgent(hello, nullptr);
    AgentHeartbeat beat;
    beat.config_version = version;
    port->Heartbeat(beat, {});
  }

  FaultyLog log_link;
  MetricsRegistry metrics;
  std::unique_ptr<EntryServer> server;
  std::shared_ptr<EntryPort> port;
};

// A document guarantees a workspace more than the zones hold. If accepted, it would leave the
// workspace waiting for room that operators believe is reserved.
TEST(ConfigApiTest, RefusesUnsatisfiableGuaranteesAndWarnsOfThoseLostWithAZone) {
  MemoryLog log;
  TestEntry one(&log, "", "one");
  const auto workspace = [](const std::string& guarantee) {
    return "[workspace boxes]\nguarantee = " + guarantee + "\naccelerator_cap = 16\n";
  };
  const Answer refused =
      one.Call("POST", "/v1/config?parent=0&author=kati", Document(workspace("2 worker")));
  EXPECT_EQ(refused.status, 400);
  EXPECT_NE(refused.json.at("detail").get<std::string>().find("16 accelerators of 8"),
            std::string::npos);
  const Answer accepted =
      one.Call("POST", "/v1/config?parent=0&author=kati", Document(workspace("1 worker")));
  EXPECT_EQ(accepted.status, 201);
  EXPECT_EQ(accepted.json.at("warnings").size(), 1U);
}

// Two operators publish at two entries at the same time. The second must be told who came first.
TEST(ConfigApiTest, SecondOfTwoConcurrentPublicationsIsRefused) {
  MemoryLog log;
  TestEntry one(&log, "", "one");
  TestEntry two(&log, "", "two");
  ASSERT_EQ(one.Call("POST", "/v1/config?parent=0&author=kati", Document()).status, 201);
  const Answer second = two.Call("POST", "/v1/config?parent=0&author=angus", Document("# other\n"));
  EXPECT_EQ(second.status, 409);
  EXPECT_EQ(second.json.at("detail"), "version 1 by 'kati' came first");
  EXPECT_EQ(second.json.at("outcome"), "not_run");
  EXPECT_EQ(two.Call("GET", "/v1/config").json.at("author"), "kati");
}

// The log commits the operator's record, but every answer of the log is lost.
TEST(ConfigApiTest, FindsZoneChangeInLogWhenAppendAnswerIsLost) {
  MemoryLog log;
  TestEntry entry(&log, "", "one");
  entry.Call("POST", "/v1/config?parent=0", Document());
  entry.log_link.SetFaults({.append_answers_lost = true});
  const Answer out = entry.Call("POST", "/v1/zones/a/out?author=kati&wait_ms=0");
  EXPECT_EQ(out.status, 201);
  EXPECT_EQ(out.json.at("version"), 2);
  EXPECT_EQ(entry.Call("POST", "/v1/zones/a/out").status, 409);
  EXPECT_EQ(entry.Call("POST", "/v1/zones/b/out").status, 404);
}

// The record is committed, but no entry can read it: the operator must not be told "not run".
TEST(ConfigApiTest, ZoneChangeThatCannotBeReadBackIsUnknownAndTakesEffectLater) {
  MemoryLog log;
  TestEntry entry(&log, "", "one");
  entry.Call("POST", "/v1/config?parent=0", Document());
  entry.log_link.SetFaults({.reads_fail = true});
  const Answer out = entry.Call("POST", "/v1/zones/a/out");
  EXPECT_EQ(out.status, 503);
  EXPECT_EQ(out.json.at("outcome"), "unknown");
  entry.log_link.SetFaults({});
  const Answer again = entry.Call("POST", "/v1/zones/a/in?wait_ms=0");
  EXPECT_EQ(again.status, 201);
  EXPECT_EQ(again.json.at("version"), 3);
}

TEST(ConfigApiTest, InForceReportNamesProcessesThatAreBehind) {
  MemoryLog log;
  TestEntry entry(&log, "", "one");
  entry.SendHeartbeat(0);
  entry.Call("POST", "/v1/config?parent=0", Document());
  const nlohmann::json before = entry.Call("GET", "/v1/config/in-force?version=1").json;
  EXPECT_FALSE(before.at("complete").get<bool>());
  EXPECT_EQ(before.at("zones").at("a").at("behind"), nlohmann::json({"worker-1"}));
  entry.SendHeartbeat(1);
  const nlohmann::json after = entry.Call("GET", "/v1/config/in-force?version=1").json;
  EXPECT_TRUE(after.at("complete").get<bool>());
  EXPECT_EQ(after.at("zones").at("a").at("entries_in_force"), 1);
}

// An operator's command sends a change to a second entry when the first one doesn't answer.
TEST(ConfigApiTest, ChangeSentToTwoEntriesTakesEffectOnce) {
  MemoryLog log;
  TestEntry one(&log, "", "one");
  TestEntry two(&log, "", "two");
  const std::string publish = "/v1/config?parent=0&change=first";
  EXPECT_EQ(one.Call("POST", publish, Document()).json.at("version"), 1);
  const Answer again = two.Call("POST", publish, Document());
  EXPECT_EQ(again.status, 201);
  EXPECT_EQ(again.json.at("version"), 1);
  EXPECT_EQ(again.json.at("change"), "first");
  const std::string out = "/v1/zones/a/out?wait_ms=0&change=second";
  EXPECT_EQ(two.Call("POST", out).json.at("version"), 2);
  EXPECT_EQ(one.Call("POST", out).json.at("version"), 2);
  EXPECT_EQ(one.Call("GET", "/v1/config/history").json.size(), 2U);
}

// An entry that hung resumes and writes the change again after another operator has undone it.
TEST(ConfigApiTest, DelayedCopyOfAChangeHasNoEffect) {
  MemoryLog log;
  TestEntry one(&log, "", "one");
  TestEntry two(&log, "", "two");
  one.Call("POST", "/v1/config?parent=0", Document());
  const std::string out = "/v1/zones/a/out?wait_ms=0&change=out";
  EXPECT_EQ(two.Call("POST", out).status, 201);
  EXPECT_EQ(two.Call("POST", "/v1/zones/a/in?wait_ms=0").json.at("version"), 3);
  EXPECT_EQ(one.Call("POST", out).json.at("version"), 2);
  EXPECT_EQ(two.Call("GET", "/v1/config").json.at("version"), 3);
  // A new change through the first entry is based on the newest version.
  EXPECT_EQ(one.Call("POST", "/v1/zones/a/out?wait_ms=0").json.at("version"), 4);
}

// A change that was rejected once must be rejected by every entry, even if it would be valid now.
TEST(ConfigApiTest, RejectedChangeIsRejectedAtEveryEntry) {
  MemoryLog log;
  TestEntry one(&log, "", "one");
  TestEntry two(&log, "", "two");
  one.Call("POST", "/v1/config?parent=0", Document());
  const std::string in = "/v1/zones/a/in?wait_ms=0&change=in";
  const Answer first = one.Call("POST", in);
  EXPECT_EQ(first.status, 409);
  EXPECT_EQ(one.Call("POST", "/v1/zones/a/out?wait_ms=0").status, 201);
  const Answer second = two.Call("POST", in);
  EXPECT_EQ(second.status, 409);
  EXPECT_EQ(second.json.at("detail"), first.json.at("detail"));
  EXPECT_EQ(two.Call("GET", "/v1/config").json.at("version"), 2);
}

TEST(ConfigApiTest, RefusesInvalidChangeIds) {
  MemoryLog log;
  TestEntry one(&log, "", "one");
  EXPECT_EQ(one.Call("POST", "/v1/config?parent=0&change=a%20b", Document()).status, 400);
  const std::string longest(64, 'x');
  EXPECT_EQ(one.Call("POST", "/v1/config?parent=0&change=x" + longest, Document()).status, 400);
  EXPECT_EQ(one.Call("POST", "/v1/config?parent=0&change=" + longest, Document()).status, 201);
}

// A hanging entry used to block every wait for "in force", although it can't act without agents.
TEST(ConfigApiTest, InForceReportNamesEntryWithoutAgentsAsSilent) {
  MemoryLog log;
  TestEntry one(&log, "", "one");
  const TestEntry two(&log, "", "two");
  one.SendHeartbeat(0);
  ASSERT_EQ(one.Call("POST", "/v1/config?parent=0", Document()).status, 201);
  one.SendHeartbeat(1);
  const nlohmann::json report = one.Call("GET", "/v1/config/in-force?version=1").json;
  EXPECT_EQ(report.at("zones").at("a").at("silent"), nlohmann::json({"two"}));
  EXPECT_TRUE(report.at("zones").at("a").at("behind").empty());
  // A promotion requires that every process has the version in force.
  EXPECT_FALSE(report.at("complete").get<bool>());
}

// A document that was not in force in trial must not reach production, even by mistake.
TEST(ConfigApiTest, ProductionAcceptsOnlyDocumentsThatTrialHadInForce) {
  MemoryLog trial_log;
  MemoryLog production_log;
  TestEntry trial(&trial_log, "trial", "one");
  TestEntry production(&production_log, "production", "two");
  const std::string publish = "/v1/config?parent=0";
  EXPECT_EQ(production.Call("POST", publish, Document()).status, 403);
  ASSERT_EQ(trial.Call("POST", publish, Document()).status, 201);
  trial.SendHeartbeat(0);
  EXPECT_EQ(trial.Call("GET", "/v1/config/statement?version=1").status, 409);
  trial.SendHeartbeat(1);
  const nlohmann::json statement = trial.Call("GET", "/v1/config/statement?version=1").json;
  const std::string promotion =
      "&trial_version=1&trial_proof=" + statement.at("proof").get<std::string>();
  EXPECT_EQ(production.Call("POST", publish + promotion, Document("# x\n")).status, 403);
  EXPECT_EQ(production.Call("POST", publish + promotion, Document()).status, 201);
  // A rollback needs no trial: the document was in force here before.
  EXPECT_EQ(production.Call("POST", "/v1/config?parent=1", Document()).status, 201);
}

}  // namespace
}  // namespace turmericshift
