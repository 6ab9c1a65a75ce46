#include "main/commands/api_client.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <memory>
#include <thread>

#include "core/http_server.h"
#include "core/listen_socket.h"
#include "core/thread.h"
#include "main/commands.h"

namespace turmericshift {
namespace {

using Json = nlohmann::json;

// A file that holds the token.
class TokenFile {
 public:
  TokenFile() : path_(testing::TempDir() + "token-" + std::to_string(getpid())) {
    std::FILE* file = std::fopen(path_.c_str(), "w");
    std::fputs("a-token\n", file);
    std::fclose(file);
  }
  ~TokenFile() { std::remove(path_.c_str()); }
  TokenFile(const TokenFile&) = delete;
  TokenFile& operator=(const TokenFile&) = delete;
  const std::string& path() const { return path_; }

 private:
  const std::string path_;
};

// Takes connections and answers nothing, as a process that hangs.
class SilentEntry {
 public:
  SilentEntry() : fd_(ListenSocket("127.0.0.1", 0)) {}
  ~SilentEntry() { close(fd_); }
  SilentEntry(const SilentEntry&) = delete;
  SilentEntry& operator=(const SilentEntry&) = delete;
  std::string address() const { return "127.0.0.1:" + std::to_string(BoundPort(fd_)); }

 private:
  const int fd_;
};

// Answers calls for configuration as an entry does, and counts them. A version is in force once it
// has been asked for `looks` times.
class ServingEntry {
 public:
  explicit ServingEntry(int looks = 0)
      : looks_(looks),
        server_({}, [this](const HttpRequest& request) { return Handle(request); }) {}
  std::string address() const { return "127.0.0.1:" + std::to_string(server_.port()); }
  int calls() const { return calls_.load(); }
  std::string last_change() const { return last_change_; }

 private:
  HttpResponse Handle(const HttpRequest& request) {
    ++calls_;
    if (request.path == "/v1/config/in-force") return JsonResponse(Report(--looks_ <= 0).dump());
    if (request.method == "GET") return JsonResponse(R"({"version":6})");
    last_change_ = request.argument("change");
    return JsonResponse(Json({{"version", 7}, {"in_force", Report(looks_ <= 0)}}).dump(), 201);
  }

  static Json Report(bool in_force) {
    const Json behind = in_force ? Json::array() : Json({"worker-1"});
    return {{"zones", {{"a", {{"behind", behind}, {"silent", {"entry-2"}}}}}}};
  }

  std::atomic<int> looks_;
  std::atomic<int> calls_{0};
  std::string last_change_;
  const HttpServer server_;
};

class ApiClientTest : public testing::Test {
 protected:
  ApiClient ClientOf(const std::string& entries, Duration timeout = std::chrono::minutes(5)) const {
    ApiClient client(entries, token_.path(), DefaultClock().Now() + timeout);
    client.SetPatience(std::chrono::milliseconds(20));
    return client;
  }

  // The words of a command at these entries.
  Words With(Words words, const std::string& entries) const {
    for (const char* word : {"--entries", entries.c_str(), "--token-file", token_.path().c_str()}) {
      words.emplace_back(word);
    }
    return words;
  }

  const TokenFile token_;
};

// A frozen entry that was named first made every command wait for 90 s and fail.
TEST_F(ApiClientTest, ReadsGetPastSilentEntries) {
  const SilentEntry one;
  const SilentEntry two;
  const ServingEntry three;
  ApiClient client = ClientOf(one.address() + " " + two.address() + " " + three.address());
  EXPECT_EQ(client.Read("/v1/config").value("version", 0), 6);
}

TEST_F(ApiClientTest, ChangesGetPastSilentEntries) {
  const SilentEntry one;
  const ServingEntry two;
  ApiClient client = ClientOf(one.address() + " " + two.address());
  EXPECT_EQ(client.Change("POST", "/v1/zones/a/out?change=x").value("version", 0), 7);
  EXPECT_EQ(two.last_change(), "x");
}

// Each call of a command would wait for the same silent entry again.
TEST_F(ApiClientTest, TheNextCallBeginsWithTheEntryThatAnswered) {
  const SilentEntry one;
  const ServingEntry two;
  ApiClient client = ClientOf(one.address() + " " + two.address(), std::chrono::hours(2));
  client.Read("/v1/config");
  client.SetPatience(std::chrono::hours(1));
  client.Read("/v1/config");
  EXPECT_EQ(two.calls(), 2);
}

// A request without a key may run twice if another entry is asked as well.
TEST_F(ApiClientTest, WhatMayRunOnceOnlyIsNeverSentTwice) {
  const SilentEntry one;
  const ServingEntry two;
  ApiClient client = ClientOf(one.address() + " " + two.address());
  CallLimits limits;
  limits.patience = std::chrono::milliseconds(1);
  limits.total = std::chrono::milliseconds(200);
  HttpCall call;
  call.method = "POST";
  try {
    client.Perform(call, "/v1/services/s/x", CallKind::kOnce, limits);
    ADD_FAILURE() << "an entry answered";
  } catch (const Error& error) {
    EXPECT_EQ(error.outcome(), Outcome::kUnknown);
  }
  EXPECT_EQ(two.calls(), 0);
}

TEST_F(ApiClientTest, TheCommandEndsWhenItsTimeIsUp) {
  const SilentEntry one;
  const Words words = With({"out", "a", "--timeout", "100ms", "--change", "mine"}, one.address());
  try {
    RunZone(words);
    ADD_FAILURE() << "an entry answered";
  } catch (const Error& error) {
    EXPECT_EQ(ExitCodeFor(error), ExitCode::kTimedOut);
    EXPECT_EQ(error.outcome(), Outcome::kUnknown);
    EXPECT_NE(std::string(error.what()).find("--change mine"), std::string::npos) << error.what();
  }
}

// The wait was part of the call that made the change: an entry that was lost in it took the answer
// with it.
TEST_F(ApiClientTest, TheWaitAsksAnyEntry) {
  auto one = std::make_unique<ServingEntry>(1000);
  const ServingEntry two(2);
  const std::string entries = one->address() + " " + two.address();
  ApiClient client = ClientOf(entries);
  client.Change("POST", "/v1/zones/a/out?change=x");
  one.reset();
  EXPECT_EQ(client.Read("/v1/config/in-force?version=7").at("zones").size(), 1U);
  EXPECT_EQ(two.calls(), 1);
}

TEST_F(ApiClientTest, AZoneChangeIsToldBeforeTheWaitForItIsOver) {
  const ServingEntry entry(3);
  testing::internal::CaptureStdout();
  const ExitCode code = RunZone(With({"out", "a", "--wait", "300s"}, entry.address()));
  const std::string told = testing::internal::GetCapturedStdout();
  EXPECT_EQ(code, ExitCode::kDone);
  EXPECT_EQ(told.rfind("availability zone a is out as of version 7\n", 0), 0U) << told;
  EXPECT_NE(told.find("silent: entry-2"), std::string::npos) << told;
  EXPECT_EQ(entry.calls(), 4);
}

TEST_F(ApiClientTest, AWaitThatEndsWithSomebodyBehindHasFailed) {
  const ServingEntry entry(1000000);
  testing::internal::CaptureStdout();
  const Words wait = {"out", "a", "--wait", "300ms"};
  EXPECT_EQ(RunZone(With(wait, entry.address())), ExitCode::kFailed);
  const Words cut = {"out", "a", "--wait", "10s", "--timeout", "300ms"};
  EXPECT_EQ(RunZone(With(cut, entry.address())), ExitCode::kTimedOut);
  testing::internal::GetCapturedStdout();
}

// What scripts read must be one document, whatever is told of silent entries.
TEST_F(ApiClientTest, JsonOutputStaysClean) {
  const SilentEntry one;
  const ServingEntry two(3);
  testing::internal::CaptureStdout();
  const std::string entries = one.address() + " " + two.address();
  EXPECT_EQ(RunZone(With({"out", "a", "--wait", "300s", "--json"}, entries)), ExitCode::kDone);
  const Json told = Json::parse(testing::internal::GetCapturedStdout(), nullptr, false);
  ASSERT_FALSE(told.is_discarded());
  EXPECT_EQ(told.value("version", 0), 7);
  // As it was when the wait was over.
  EXPECT_TRUE(told.at("in_force").at("zones").at("a").at("behind").empty());
}

// The change is made, and then no entry can be reached: "not run" would be untrue.
TEST_F(ApiClientTest, AChangeStaysToldWhenNoEntryIsLeftInTheWait) {
  auto entry = std::make_unique<ServingEntry>(1000000);
  const std::string address = entry->address();
  Thread end("end", [&entry] {
    while (entry->calls() < 2) std::this_thread::yield();
    entry.reset();
  });
  testing::internal::CaptureStdout();
  EXPECT_EQ(RunZone(With({"out", "a", "--wait", "10s"}, address)), ExitCode::kFailed);
  const std::string told = testing::internal::GetCapturedStdout();
  EXPECT_EQ(told.rfind("availability zone a is out as of version 7\n", 0), 0U) << told;
  end.Join();
}

// The rollback procedure publishes an old document at the version that is present.
TEST_F(ApiClientTest, PublishGetsPastASilentEntry) {
  const SilentEntry one;
  const ServingEntry two;
  testing::internal::CaptureStdout();
  const std::string entries = one.address() + " " + two.address();
  const Words words = {"publish", "examples/potkocsi/environment.ini"};
  EXPECT_EQ(RunConfig(With(words, entries)), ExitCode::kDone);
  EXPECT_EQ(testing::internal::GetCapturedStdout().rfind("version 7", 0), 0U);
  EXPECT_FALSE(two.last_change().empty());
}

}  // namespace
}  // namespace turmericshift
