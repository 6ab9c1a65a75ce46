#include "main/commands/api_client.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
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

// A temporary file that holds a token.
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

// Accepts connections but never answers, like a hanging process.
class SilentEntry {
 public:
  SilentEntry() : fd_(ListenSocket("127.0.0.1", 0)) {}
  ~SilentEntry() { close(fd_); }
  SilentEntry(const SilentEntry&) = delete;
  SilentEntry& operator=(const SilentEntry&) = delete;
  std::string address() const { return "127.0.0.1:" + std::to_string(BoundPort(fd_)); }

  // Whether all connections that were opened to it have been closed by their callers.
  bool AllConnectionsClosed() const {
    fcntl(fd_, F_SETFL, O_NONBLOCK);
    bool all_closed = true;
    for (int fd = accept(fd_, nullptr, nullptr); fd >= 0; fd = accept(fd_, nullptr, nullptr)) {
      all_closed = ReadsToEnd(fd) && all_closed;
      close(fd);
    }
    return all_closed;
  }

 private:
  // Returns false if the caller keeps the connection open; what it sent may arrive late.
  static bool ReadsToEnd(int fd) {
    const timeval limit = {5, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    std::array<char, 4096> bytes{};
    ssize_t count = 1;
    while (count > 0) count = recv(fd, bytes.data(), bytes.size(), 0);
    return count == 0 || errno == ECONNRESET;
  }

  const int fd_;
};

// Answers configuration calls as an entry does and counts them. Reports a new version as in force
// from the given number of polls on; 0: immediately.
class ServingEntry {
 public:
  explicit ServingEntry(int polls = 0)
      : polls_(polls),
        server_({}, [this](const HttpRequest& request) { return Handle(request); }) {}
  std::string address() const { return "127.0.0.1:" + std::to_string(server_.port()); }
  int calls() const { return calls_.load(); }
  std::string last_change() const { return last_change_; }

 private:
  HttpResponse Handle(const HttpRequest& request) {
    ++calls_;
    if (request.path == "/v1/config/in-force") return JsonResponse(Report(--polls_ <= 0).dump());
    if (request.method == "GET") return JsonResponse(R"({"version":6})");
    last_change_ = request.argument("change");
    return JsonResponse(Json({{"version", 7}, {"in_force", Report(polls_ <= 0)}}).dump(), 201);
  }

  static Json Report(bool in_force) {
    const Json behind = in_force ? Json::array() : Json({"worker-1"});
    return {{"zones", {{"a", {{"behind", behind}, {"silent", {"entry-2"}}}}}}};
  }

  std::atomic<int> polls_;
  std::atomic<int> calls_{0};
  std::string last_change_;
  const HttpServer server_;
};

class ApiClientTest : public testing::Test {
 protected:
  ApiClient ClientOf(const std::string& entries, Duration timeout = std::chrono::minutes(5)) const {
    ApiClient client(entries, token_.path(), DefaultClock().Now() + timeout);
    client.SetHedgeDelay(std::chrono::milliseconds(20));
    return client;
  }

  // Appends the options for the entries and the token file to a command's arguments.
  Args With(Args args, const std::string& entries) const {
    for (const char* argument :
         {"--entries", entries.c_str(), "--token-file", token_.path().c_str()}) {
      args.emplace_back(argument);
    }
    return args;
  }

  const TokenFile token_;
};

// A hanging entry at the head of the list once made every command wait for 90 s and fail.
TEST_F(ApiClientTest, ReadsSucceedDespiteSilentEntries) {
  const SilentEntry one;
  const SilentEntry two;
  const ServingEntry three;
  ApiClient client = ClientOf(one.address() + " " + two.address() + " " + three.address());
  EXPECT_EQ(client.Read("/v1/config").value("version", 0), 6);
}

TEST_F(ApiClientTest, ChangesSucceedDespiteSilentEntries) {
  const SilentEntry one;
  const ServingEntry two;
  ApiClient client = ClientOf(one.address() + " " + two.address());
  EXPECT_EQ(client.Change("POST", "/v1/zones/a/out?change=x").value("version", 0), 7);
  EXPECT_EQ(two.last_change(), "x");
}

// A thread that still used libcurl while the process ended crashed it.
TEST_F(ApiClientTest, NoCallContinuesAfterAnotherEntryAnswered) {
  const SilentEntry one;
  const ServingEntry two;
  ClientOf(one.address() + " " + two.address()).Read("/v1/config");
  EXPECT_TRUE(one.AllConnectionsClosed());
}

// Otherwise each call of a command would wait again for the same silent entry.
TEST_F(ApiClientTest, NextCallStartsWithTheEntryThatAnswered) {
  const SilentEntry one;
  const ServingEntry two;
  ApiClient client = ClientOf(one.address() + " " + two.address(), std::chrono::hours(2));
  client.Read("/v1/config");
  client.SetHedgeDelay(std::chrono::hours(1));
  client.Read("/v1/config");
  EXPECT_EQ(two.calls(), 2);
}

// A request without an idempotency key could run twice if it was sent to another entry as well.
TEST_F(ApiClientTest, AtMostOnceCallIsNeverSentTwice) {
  const SilentEntry one;
  const ServingEntry two;
  ApiClient client = ClientOf(one.address() + " " + two.address());
  CallLimits limits;
  limits.hedge_delay = std::chrono::milliseconds(1);
  limits.timeout = std::chrono::milliseconds(200);
  HttpCall call;
  call.method = "POST";
  try {
    client.Perform(call, "/v1/services/s/x", CallKind::kAtMostOnce, limits);
    ADD_FAILURE() << "an entry answered";
  } catch (const Error& error) {
    EXPECT_EQ(error.outcome(), Outcome::kUnknown);
  }
  EXPECT_EQ(two.calls(), 0);
}

TEST_F(ApiClientTest, CommandEndsAtItsTimeout) {
  const SilentEntry one;
  const Args args = With({"out", "a", "--timeout", "100ms", "--change", "mine"}, one.address());
  try {
    RunZone(args);
    ADD_FAILURE() << "an entry answered";
  } catch (const Error& error) {
    EXPECT_EQ(ExitCodeFor(error), ExitCode::kTimedOut);
    EXPECT_EQ(error.outcome(), Outcome::kUnknown);
    EXPECT_NE(std::string(error.what()).find("--change mine"), std::string::npos) << error.what();
  }
}

// The wait for the version used to be part of the call that made the change, so the answer was lost
// when that entry failed during the wait.
TEST_F(ApiClientTest, WaitContinuesWithAnotherEntry) {
  auto one = std::make_unique<ServingEntry>(1000);
  const ServingEntry two(2);
  const std::string entries = one->address() + " " + two.address();
  ApiClient client = ClientOf(entries);
  client.Change("POST", "/v1/zones/a/out?change=x");
  one.reset();
  EXPECT_EQ(client.Read("/v1/config/in-force?version=7").at("zones").size(), 1U);
  EXPECT_EQ(two.calls(), 1);
}

TEST_F(ApiClientTest, ZoneChangeIsPrintedBeforeTheWaitEnds) {
  const ServingEntry entry(3);
  testing::internal::CaptureStdout();
  const ExitCode code = RunZone(With({"out", "a", "--wait", "300s"}, entry.address()));
  const std::string output = testing::internal::GetCapturedStdout();
  EXPECT_EQ(code, ExitCode::kDone);
  EXPECT_EQ(output.rfind("availability zone a is out as of version 7\n", 0), 0U) << output;
  EXPECT_NE(output.find("silent: entry-2"), std::string::npos) << output;
  EXPECT_EQ(entry.calls(), 4);
}

TEST_F(ApiClientTest, WaitFailsIfAProcessIsStillBehind) {
  const ServingEntry entry(1000000);
  testing::internal::CaptureStdout();
  const Args wait = {"out", "a", "--wait", "300ms"};
  EXPECT_EQ(RunZone(With(wait, entry.address())), ExitCode::kFailed);
  const Args cut = {"out", "a", "--wait", "10s", "--timeout", "300ms"};
  EXPECT_EQ(RunZone(With(cut, entry.address())), ExitCode::kTimedOut);
  testing::internal::GetCapturedStdout();
}

// Scripts read standard output as one JSON document, so messages about silent entries must not
// appear there.
TEST_F(ApiClientTest, StandardOutputIsOneJsonDocument) {
  const SilentEntry one;
  const ServingEntry two(3);
  testing::internal::CaptureStdout();
  const std::string entries = one.address() + " " + two.address();
  EXPECT_EQ(RunZone(With({"out", "a", "--wait", "300s", "--json"}, entries)), ExitCode::kDone);
  const Json output = Json::parse(testing::internal::GetCapturedStdout(), nullptr, false);
  ASSERT_FALSE(output.is_discarded());
  EXPECT_EQ(output.value("version", 0), 7);
  // The report is the newest one, from the end of the wait.
  EXPECT_TRUE(output.at("in_force").at("zones").at("a").at("behind").empty());
}

// The change was accepted before all entries became unreachable, so it must not be reported as "not
// run".
TEST_F(ApiClientTest, AcceptedChangeIsPrintedIfAllEntriesFailDuringTheWait) {
  auto entry = std::make_unique<ServingEntry>(1000000);
  const std::string address = entry->address();
  Thread end("end", [&entry] {
    while (entry->calls() < 2) std::this_thread::yield();
    entry.reset();
  });
  testing::internal::CaptureStdout();
  EXPECT_EQ(RunZone(With({"out", "a", "--wait", "10s"}, address)), ExitCode::kFailed);
  const std::string output = testing::internal::GetCapturedStdout();
  EXPECT_EQ(output.rfind("availability zone a is out as of version 7\n", 0), 0U) << output;
  end.Join();
}

// The rollback procedure publishes an old document on top of the current version and must work
// while an entry hangs.
TEST_F(ApiClientTest, PublishSucceedsDespiteASilentEntry) {
  const SilentEntry one;
  const ServingEntry two;
  testing::internal::CaptureStdout();
  const std::string entries = one.address() + " " + two.address();
  const Args args = {"publish", "examples/potkocsi/environment.ini"};
  EXPECT_EQ(RunConfig(With(args, entries)), ExitCode::kDone);
  EXPECT_EQ(testing::internal::GetCapturedStdout().rfind("version 7", 0), 0U);
  EXPECT_FALSE(two.last_change().empty());
}

}  // namespace
}  // namespace turmericshift
