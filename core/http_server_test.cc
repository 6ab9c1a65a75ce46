#include "core/http_server.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <linux/sockios.h>
#include <poll.h>
#include <pthread.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <future>
#include <thread>
#include <vector>

#include "core/digest.h"
#include "core/error.h"
#include "core/http_client.h"
#include "core/listen_socket.h"
#include "tests/stand_ins/call_pause.h"
#include "tests/stand_ins/held_thread.h"

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

// Sends the bytes and waits until the server's system has received them; the server itself may not
// have read them yet.
void SendUntilReceived(int fd, const std::string& bytes) {
  SendAll(fd, bytes);
  int not_received = 1;
  while (not_received > 0) {
    ASSERT_EQ(ioctl(fd, SIOCOUTQ, &not_received), 0);
    std::this_thread::yield();
  }
}

// Reads the answer "ok" to a request whose connection stays open.
void ReadOk(int fd) {
  std::string answer;
  char buffer[4096];
  while (answer.find("\r\n\r\nok") == std::string::npos) {
    const ssize_t got = recv(fd, buffer, sizeof(buffer), 0);
    ASSERT_GT(got, 0);
    answer.append(buffer, static_cast<size_t>(got));
  }
}

constexpr const char* kOkRequest = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok";

// Reads until the server closes the connection, then closes `fd`.
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

// Sends raw bytes on a new connection and reads until the server closes the connection.
std::string SendRaw(int port, const std::string& bytes) {
  const int fd = ConnectTo(port);
  SendAll(fd, bytes);
  return ReadAll(fd);
}

TEST(HttpServerTest, TransfersEightMebibytesEachWay) {
  const HttpServer server({}, &Echo);
  HttpCall call = CallTo(server, "/");
  call.body = std::string(size_t{8} << 20, 'x') + "end";
  const HttpReply reply = PerformHttp(call);
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(Digest(reply.body), Digest(call.body));
}

TEST(HttpServerTest, ErrorsBecomeProblemResponses) {
  const HttpServer server({}, &Echo);
  const HttpReply reply = PerformHttp(CallTo(server, "/refuse"));
  EXPECT_EQ(reply.status, 429);
  EXPECT_EQ(reply.header("content-type"), "application/problem+json");
  EXPECT_NE(reply.body.find("\"outcome\":\"not_run\""), std::string::npos);
}

TEST(HttpServerTest, RejectsBodiesOverTheLimitAndKeepsServing) {
  HttpServerOptions options;
  options.max_body_bytes = 1000;
  const HttpServer server(options, &Echo);
  HttpCall call = CallTo(server, "/");
  call.body = std::string(1001, 'x');
  EXPECT_EQ(PerformHttp(call).status, 413);
  call.body.pop_back();
  EXPECT_EQ(PerformHttp(call).status, 200);
}

// The server read an announced body to its end, however long it was, before it refused it.
TEST(HttpServerTest, RefusesABodyAnnouncedOverTheLimitBeforeReadingIt) {
  const HttpServer server({}, &Echo);
  const std::string answer =
      SendRaw(server.port(), "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000000000\r\n\r\n");
  EXPECT_NE(answer.find("HTTP/1.1 413"), std::string::npos) << answer;
  EXPECT_NE(answer.find("\"outcome\":\"not_run\""), std::string::npos) << answer;
}

// Each body was within the limit, but all of them together took more memory than the process had.
TEST(HttpServerTest, RefusesABodyThatTheBudgetDoesNotHold) {
  ByteBudget budget(100'000);
  HttpServerOptions options;
  options.body_budget = &budget;
  options.uncounted_bytes = 1000;
  const HttpServer server(options, &Echo);
  HttpCall call = CallTo(server, "/");
  call.method = "POST";
  call.body = std::string(60'000, 'x');
  const HttpReply refused = PerformHttp(call);
  EXPECT_EQ(refused.status, 503);
  EXPECT_EQ(refused.header("Retry-After"), "1");
  EXPECT_NE(refused.body.find("\"outcome\":\"not_run\""), std::string::npos);
  ASSERT_TRUE(budget.Take(50'000, 0));
  call.body = std::string(1000, 'x');
  EXPECT_EQ(PerformHttp(call).status, 200);
  call.body = std::string(2000, 'x');
  EXPECT_EQ(PerformHttp(call).status, 503);
  budget.Return(50'000);
  EXPECT_EQ(PerformHttp(call).status, 200);
  EXPECT_EQ(budget.taken(), 0U);
}

// A refusal means that a request never runs, which is not known if an earlier copy may have.
TEST(HttpServerTest, LeavesTheOutcomeOpenIfAnEarlierCopyMayHaveRun) {
  ByteBudget budget(0);
  HttpServerOptions options;
  options.body_budget = &budget;
  options.uncounted_bytes = 0;
  options.may_have_run = [](const HttpRequest& request) { return request.path == "/earlier"; };
  const HttpServer server(options, &Echo);
  HttpCall call = CallTo(server, "/earlier");
  call.method = "POST";
  call.body = "x";
  EXPECT_EQ(PerformHttp(call).status, 504);
}

// A caller sends half a request and then nothing. Without an idle timeout such connections would
// accumulate until no other caller can connect.
TEST(HttpServerTest, DisconnectsStalledSenders) {
  HttpServerOptions options;
  options.idle_timeout = std::chrono::seconds(1);
  const HttpServer server(options, &Echo);
  const std::string answer =
      SendRaw(server.port(), "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nhalf");
  EXPECT_EQ(answer.find("200"), std::string::npos);
  EXPECT_EQ(PerformHttp(CallTo(server, "/")).status, 200);
}

// Connections that sent nothing took all places, and new callers were refused.
TEST(HttpServerTest, ClosesTheConnectionsThatWaitLongestWhenPlacesRunOut) {
  HttpServerOptions options;
  options.max_connections = 8;
  std::promise<void> handling;
  std::promise<void> release;
  const HttpServer server(options, [&](const HttpRequest& request) {
    if (request.path == "/slow") {
      handling.set_value();
      release.get_future().wait();
    }
    return HttpResponse{200, "", {}};
  });
  std::thread slow([&] { EXPECT_EQ(PerformHttp(CallTo(server, "/slow")).status, 200); });
  handling.get_future().wait();
  std::vector<int> silent;
  for (int i = 0; i < 20; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = SocketAddress("127.0.0.1", server.port());
    ASSERT_EQ(connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
    silent.push_back(fd);
  }
  char byte = 0;
  EXPECT_EQ(recv(silent.front(), &byte, 1, 0), 0);
  release.set_value();
  slow.join();
  for (const int fd : silent) close(fd);
}

// A sender that sends a byte now and then is never idle, so only the receive timeout can close its
// connection.
TEST(HttpServerTest, DisconnectsSlowSenders) {
  HttpServerOptions options;
  options.receive_timeout = Duration::zero();
  const HttpServer server(options, &Echo);
  EXPECT_EQ(SendRaw(server.port(), "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx"), "");
}

// The server is stopped while a request is in transit on an open connection. If the server took
// itself for idle and closed the connection, the caller would not know whether the request was run.
TEST(HttpServerTest, DrainWaitsForARequestInTransit) {
  HttpServer server({}, &Echo);
  const int fd = ConnectTo(server.port());
  server.StopAccepting();
  std::thread caller(
      [fd] { SendAll(fd, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"); });
  EXPECT_TRUE(server.Drain(std::chrono::seconds(10)));
  caller.join();
  EXPECT_NE(ReadAll(fd).find("200 OK"), std::string::npos);
}

// A request lies unread on a kept connection because the connection's thread has no processor. The
// server took itself for drained, the process ended, and the caller got no response.
TEST(HttpServerTest, DrainWaitsForAnUnreadRequestOfAKeptConnection) {
  std::promise<pthread_t> thread;
  std::atomic<int> requests{0};
  HttpServer server({}, [&](const HttpRequest& request) {
    if (requests.fetch_add(1) == 0) thread.set_value(pthread_self());
    return Echo(request);
  });
  const int fd = ConnectTo(server.port());
  SendAll(fd, kOkRequest);
  ReadOk(fd);
  {
    const HeldThread held(thread.get_future().get());
    SendUntilReceived(fd, kOkRequest);
    server.StopAccepting();
    EXPECT_FALSE(server.Drain(Duration::zero()));
  }
  EXPECT_TRUE(server.Drain(std::chrono::seconds(60)));
  EXPECT_EQ(requests.load(), 2);
  EXPECT_NE(ReadAll(fd).find("200 OK"), std::string::npos);
}

// Requests were counted from the end of their headers on, so the server took itself for drained
// while a request was read.
TEST(HttpServerTest, DrainWaitsForTheRestOfARequest) {
  HttpServer server({}, &Echo);
  const int fd = ConnectTo(server.port());
  const std::string request = kOkRequest;
  SendUntilReceived(fd, request.substr(0, request.size() / 2));
  server.StopAccepting();
  EXPECT_FALSE(server.Drain(Duration::zero()));
  SendAll(fd, request.substr(request.size() / 2));
  EXPECT_TRUE(server.Drain(std::chrono::seconds(60)));
  EXPECT_NE(ReadAll(fd).find("200 OK"), std::string::npos);
}

// A request that came on a kept connection after the server was drained was still handled, while
// the process ended; its caller could not know whether it was run.
TEST(HttpServerTest, HandlesNoRequestOfAKeptConnectionAfterDrain) {
  std::atomic<int> requests{0};
  HttpServer server({}, [&](const HttpRequest& request) {
    requests.fetch_add(1);
    return Echo(request);
  });
  const int fd = ConnectTo(server.port());
  SendAll(fd, kOkRequest);
  ReadOk(fd);
  server.StopAccepting();
  EXPECT_TRUE(server.Drain(std::chrono::seconds(60)));
  const std::string request = kOkRequest;
  send(fd, request.data(), request.size(), MSG_NOSIGNAL);
  EXPECT_EQ(ReadAll(fd), "");
  EXPECT_EQ(requests.load(), 1);
}

// Sends requests, each on a new connection, until a connection is refused. Counts the requests
// whose connection was accepted and that got no response.
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

// Connections that arrived while the server stopped were accepted and then reset after the caller
// had sent its request.
TEST(HttpServerTest, StopAnswersAllAcceptedConnections) {
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
  // The process exits after Drain, so no request may be handled later than that.
  EXPECT_EQ(late.load(), 0);
}

// The library's thread had accepted a connection and not announced it yet when the server stopped.
// The server took itself for drained, and the caller got no response.
TEST(HttpServerTest, DrainWaitsForAConnectionThatIsAcceptedButNotAnnounced) {
  HttpServer server({}, &Echo);
  int fd = -1;
  {
    CallPause pause(PausePoint::kAfterAccept);
    fd = ConnectTo(server.port());
    pause.WaitUntilReached();
    SendUntilReceived(fd, kOkRequest);
    server.StopAccepting();
    EXPECT_FALSE(server.Drain(Duration::zero()));
  }
  EXPECT_TRUE(server.Drain(std::chrono::seconds(60)));
  EXPECT_NE(ReadAll(fd).find("200 OK"), std::string::npos);
}

// Sends the first packet of a new connection without waiting for the answer. Returns -1 if the
// connection is refused at once.
int BeginToConnect(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  const sockaddr_in address = SocketAddress("127.0.0.1", port);
  const int result = connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (result == 0 || errno == EINPROGRESS) return fd;
  EXPECT_EQ(errno, ECONNREFUSED);
  close(fd);
  return -1;
}

// Waits for the connection and sends a request on it. Returns whether the connection was refused or
// the request answered.
bool IsRefusedOrAnswered(int fd) {
  if (fd < 0) return true;
  pollfd connected{fd, POLLOUT, 0};
  EXPECT_EQ(poll(&connected, 1, -1), 1);
  int failure = 0;
  socklen_t size = sizeof(failure);
  EXPECT_EQ(getsockopt(fd, SOL_SOCKET, SO_ERROR, &failure, &size), 0);
  if (failure == ECONNREFUSED) {
    close(fd);
    return true;
  }
  EXPECT_EQ(fcntl(fd, F_SETFL, 0), 0);
  const std::string request = kOkRequest;
  send(fd, request.data(), request.size(), MSG_NOSIGNAL);
  return ReadAll(fd).find("200 OK") != std::string::npos;
}

class HttpServerStopTest : public testing::TestWithParam<PausePoint> {};

// A stop that is held up between two of its steps must not cut a request of a connection that is
// opened before, during or after the pause.
TEST_P(HttpServerStopTest, CutsNoRequestAroundADelayedStep) {
  HttpServer server({}, &Echo);
  CallPause pause(GetParam());
  const int before = BeginToConnect(server.port());
  auto stopped = std::async(std::launch::async, [&] {
    server.StopAccepting();
    return server.Drain(std::chrono::seconds(60));
  });
  pause.WaitUntilReached();
  const int during = BeginToConnect(server.port());
  pause.Release();
  const int after = BeginToConnect(server.port());
  EXPECT_TRUE(IsRefusedOrAnswered(before));
  EXPECT_TRUE(IsRefusedOrAnswered(during));
  EXPECT_TRUE(IsRefusedOrAnswered(after));
  EXPECT_TRUE(stopped.get());
}

INSTANTIATE_TEST_SUITE_P(Steps, HttpServerStopTest,
                         testing::Values(PausePoint::kBeforeFilter, PausePoint::kAfterFilter,
                                         PausePoint::kBeforeListenerShutdown,
                                         PausePoint::kAfterListenerShutdown));

// The library passes paths on as C strings. Cut at an escaped zero character, the path of one job
// was taken for that of another.
TEST(HttpServerTest, DoesNotCutPathsAndQueriesAtAZeroCharacter) {
  HttpRequest received;
  const HttpServer server({}, [&](const HttpRequest& request) {
    received = request;
    return HttpResponse();
  });
  EXPECT_EQ(PerformHttp(CallTo(server, "/a%20b%00c?x=1%002&y=%31")).status, 200);
  EXPECT_EQ(received.path, "/a%20b%00c");
  EXPECT_EQ(received.argument("x"), "1%002");
  EXPECT_EQ(received.argument("y"), "1");
}

TEST(HttpServerTest, RejectsMalformedRequestsAndKeepsServing) {
  const HttpServer server({}, &Echo);
  SendRaw(server.port(), "GET\r\n\r\n");
  SendRaw(server.port(), "POST / HTTP/1.1\r\nContent-Length: -5\r\nConnection: close\r\n\r\n");
  SendRaw(server.port(), std::string(100000, 'A') + "\r\n\r\n");
  EXPECT_EQ(PerformHttp(CallTo(server, "/")).status, 200);
}

}  // namespace
}  // namespace turmericshift
