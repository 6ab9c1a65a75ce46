#include "core/http_server.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <thread>
#include <vector>

#include "core/digest.h"
#include "core/error.h"
#include "core/http_client.h"
#include "core/listen_socket.h"

namespace turmericshift {
namespace {

HttpResponse Echo(const HttpRequest& request) {
  if (request.path == "/refuse") throw Error(ErrorKind::kOverloaded, "too busy");
  return {200, request.body, {}};
}

HttpCall CallTo(const HttpServer& server, const std::string& path) {
  HttpCall call;
  call.method = "POST";
  call.url = "http://127.0.0.1:" + std::to_string(server.port()) + path;
  return call;
}

int ConnectTo(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = SocketAddress("127.0.0.1", port);
  EXPECT_EQ(connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
  return fd;
}

void SendAll(int fd, const std::string& bytes) {
  EXPECT_EQ(send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
}

// All that arrives until the server closes the connection, which is then closed here too.
std::string ReadAll(int fd) {
  std::string answer;
  char buffer[4096];
  for (ssize_t got = 1; got > 0;) {
    got = recv(fd, buffer, sizeof(buffer), 0);
    if (got > 0) answer.append(buffer, static_cast<size_t>(got));
  }
  close(fd);
  return answer;
}

// Sends raw bytes on a connection of its own and reads until the server closes it.
std::string SendRaw(int port, const std::string& bytes) {
  const int fd = ConnectTo(port);
  SendAll(fd, bytes);
  return ReadAll(fd);
}

TEST(HttpServerTest, CarriesEightMebibytesEachWayWhole) {
  const HttpServer server({}, &Echo);
  HttpCall call = CallTo(server, "/");
  call.body = std::string(size_t{8} << 20, 'x') + "end";
  const HttpReply reply = PerformHttp(call);
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(Digest(reply.body), Digest(call.body));
}

TEST(HttpServerTest, ErrorsBecomeProblemsByTheTable) {
  const HttpServer server({}, &Echo);
  const HttpReply reply = PerformHttp(CallTo(server, "/refuse"));
  EXPECT_EQ(reply.status, 429);
  EXPECT_EQ(reply.header("content-type"), "application/problem+json");
  EXPECT_NE(reply.body.find("\"outcome\":\"not_run\""), std::string::npos);
}

TEST(HttpServerTest, BodiesOverTheLimitAreRefusedAndTheServerGoesOn) {
  HttpServerOptions options;
  options.max_body_bytes = 1000;
  const HttpServer server(options, &Echo);
  HttpCall call = CallTo(server, "/");
  call.body = std::string(1001, 'x');
  EXPECT_EQ(PerformHttp(call).status, 413);
  call.body.pop_back();
  EXPECT_EQ(PerformHttp(call).status, 200);
}

// A caller opens a connection and sends half a request, then nothing. Without a limit on idleness
// such connections would pile up until no other caller gets in.
TEST(HttpServerTest, SendersThatStallAreCutOff) {
  HttpServerOptions options;
  options.idle_timeout = std::chrono::seconds(1);
  const HttpServer server(options, &Echo);
  const std::string answer =
      SendRaw(server.port(), "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf");
  EXPECT_EQ(answer.find("200"), std::string::npos);
  EXPECT_EQ(PerformHttp(CallTo(server, "/")).status, 200);
}

// A sender that trickles a byte now and then is never idle and would hold its connection for ever.
TEST(HttpServerTest, SendersThatTrickleAreCutOff) {
  HttpServerOptions options;
  options.receive_limit = Duration::zero();
  const HttpServer server(options, &Echo);
  EXPECT_EQ(SendRaw(server.port(), "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx"), "");
}

// A planned stop comes while a caller's connection stands and its request is still on its way. The
// server must not take itself for idle and close it: the caller would not know whether it was run.
TEST(HttpServerTest, AStopWaitsForARequestThatIsOnItsWay) {
  HttpServer server({}, &Echo);
  const int fd = ConnectTo(server.port());
  server.StopAccepting();
  std::thread caller(
      [fd] { SendAll(fd, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"); });
  EXPECT_TRUE(server.Drain(std::chrono::seconds(10)));
  caller.join();
  EXPECT_NE(ReadAll(fd).find("200 OK"), std::string::npos);
}

// Calls over connections of its own until one is refused; counts those that were let in and then
// got no answer.
void CallUntilRefused(int port, std::atomic<int>* unanswered) {
  while (true) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = SocketAddress("127.0.0.1", port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
      EXPECT_EQ(errno, ECONNREFUSED);
      close(fd);
      return;
    }
    const std::string request =
        "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";
    const bool sent = send(fd, request.data(), request.size(), MSG_NOSIGNAL) > 0;
    if (!sent || ReadAll(fd).find("200 OK") == std::string::npos) unanswered->fetch_add(1);
  }
}

// Callers who connect while the server stops were let in and then reset, with their request sent.
TEST(HttpServerTest, AStopAnswersAllWhoWereLetIn) {
  constexpr int kRounds = 5;
  constexpr int kCallers = 64;
  constexpr int kAnswersBeforeTheStop = 100;
  std::atomic<int> unanswered{0};
  std::atomic<int> late{0};
  for (int round = 0; round < kRounds; ++round) {
    std::atomic<int> answers{0};
    std::atomic<bool> drained{false};
    HttpServer server({}, [&](const HttpRequest& request) {
      answers.fetch_add(1);
      if (drained.load()) late.fetch_add(1);
      return Echo(request);
    });
    std::vector<std::thread> callers(kCallers);
    for (std::thread& caller : callers) {
      caller = std::thread([&] { CallUntilRefused(server.port(), &unanswered); });
    }
    while (answers.load() < kAnswersBeforeTheStop) std::this_thread::yield();
    server.StopAccepting();
    EXPECT_TRUE(server.Drain(std::chrono::seconds(60)));
    drained.store(true);
    for (std::thread& caller : callers) caller.join();
  }
  EXPECT_EQ(unanswered.load(), 0);
  // A process ends once it has drained.
  EXPECT_EQ(late.load(), 0);
}

TEST(HttpServerTest, NonsenseIsRefusedAndTheServerGoesOn) {
  const HttpServer server({}, &Echo);
  SendRaw(server.port(), "GET\r\n\r\n");
  SendRaw(server.port(), "POST / HTTP/1.1\r\nContent-Length: -5\r\nConnection: close\r\n\r\n");
  SendRaw(server.port(), std::string(100000, 'A') + "\r\n\r\n");
  EXPECT_EQ(PerformHttp(CallTo(server, "/")).status, 200);
}

}  // namespace
}  // namespace turmericshift
