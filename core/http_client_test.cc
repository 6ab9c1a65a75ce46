#include "core/http_client.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <vector>

#include "core/error.h"
#include "core/listen_socket.h"
#include "core/thread.h"
#include "tests/stand_ins/dropping_peer.h"

namespace turmericshift {
namespace {

HttpCall CallTo(int port) {
  HttpCall call;
  call.url = "http://127.0.0.1:" + std::to_string(port) + "/";
  return call;
}

// A listening socket whose backlog is full, so that new connection attempts get no reply.
class FullListener {
 public:
  FullListener() : listener_(ListenSocket("127.0.0.1", 0)) {
    constexpr int kPendingConnections = 4;
    listen(listener_, 0);
    const sockaddr_in address = SocketAddress("127.0.0.1", port());
    for (int i = 0; i < kPendingConnections; ++i) {
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      static_cast<void>(connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
      pending_.push_back(fd);
    }
  }
  ~FullListener() {
    for (const int fd : pending_) close(fd);
    close(listener_);
  }
  FullListener(const FullListener&) = delete;
  FullListener& operator=(const FullListener&) = delete;

  int port() const { return BoundPort(listener_); }

 private:
  const int listener_;
  std::vector<int> pending_;
};

Error FailureOf(const HttpCall& call, HttpCanceller* canceller = nullptr) {
  try {
    if (canceller == nullptr) {
      PerformHttp(call);
    } else {
      PerformHttp(call, canceller);
    }
  } catch (const Error& error) {
    return error;
  }
  return {ErrorKind::kInternal, "the call succeeded"};
}

// A call that never connected was reported with outcome unknown, so it was not retried elsewhere.
TEST(HttpClientTest, TimeoutWithoutConnectionIsNotRun) {
  const FullListener peer;
  HttpCall call = CallTo(peer.port());
  call.timeout = std::chrono::milliseconds(100);
  const Error failure = FailureOf(call);
  EXPECT_EQ(failure.kind(), ErrorKind::kDeadlineExceeded);
  EXPECT_EQ(failure.outcome(), Outcome::kNotRun);
}

// A call with a timeout of minutes for its response must still fail fast if it can't connect.
TEST(HttpClientTest, ConnectTimeoutIsIndependentOfCallTimeout) {
  const FullListener peer;
  HttpCall call = CallTo(peer.port());
  call.timeout = std::chrono::hours(1);
  call.connect_timeout = std::chrono::milliseconds(100);
  EXPECT_EQ(FailureOf(call).outcome(), Outcome::kNotRun);
}

TEST(HttpClientTest, CancelEndsACallThatWaitsForItsResponse) {
  const int listener = ListenSocket("127.0.0.1", 0);
  HttpCall call = CallTo(BoundPort(listener));
  call.timeout = std::chrono::hours(1);
  HttpCanceller canceller;
  int fd = -1;
  Thread canceling("cancel", [&] {
    fd = accept(listener, nullptr, nullptr);
    char byte = 0;
    EXPECT_EQ(recv(fd, &byte, sizeof(byte), 0), 1);
    canceller.Cancel();
  });
  const Error failure = FailureOf(call, &canceller);
  EXPECT_EQ(failure.kind(), ErrorKind::kCancelled);
  EXPECT_EQ(failure.outcome(), Outcome::kUnknown);
  canceling.Join();
  close(fd);
  close(listener);
}

TEST(HttpClientTest, CancelEndsACallThatWaitsForItsConnection) {
  const FullListener peer;
  HttpCall call = CallTo(peer.port());
  call.timeout = std::chrono::hours(1);
  call.connect_timeout = std::chrono::hours(1);
  HttpCanceller canceller;
  Thread canceling("cancel", [&canceller] { canceller.Cancel(); });
  EXPECT_EQ(FailureOf(call, &canceller).kind(), ErrorKind::kCancelled);
}

TEST(HttpClientTest, CallAfterCancelSendsNothing) {
  const int listener = ListenSocket("127.0.0.1", 0);
  HttpCanceller canceller;
  canceller.Cancel();
  EXPECT_EQ(FailureOf(CallTo(BoundPort(listener)), &canceller).kind(), ErrorKind::kCancelled);
  fcntl(listener, F_SETFL, O_NONBLOCK);
  EXPECT_EQ(accept(listener, nullptr, nullptr), -1);
  close(listener);
}

TEST(HttpClientTest, TimeoutAfterSendingIsUnknown) {
  const int listener = ListenSocket("127.0.0.1", 0);
  HttpCall call = CallTo(BoundPort(listener));
  call.timeout = std::chrono::milliseconds(100);
  const Error failure = FailureOf(call);
  EXPECT_EQ(failure.kind(), ErrorKind::kDeadlineExceeded);
  EXPECT_EQ(failure.outcome(), Outcome::kUnknown);
  close(listener);
}

// A request that the peer had read was reported as not run, because libcurl sent it again on its
// own and the second connection was refused.
TEST(HttpClientTest, RefusedConnectionOfAResentRequestIsUnknown) {
  DroppingPeer peer(HttpAnswer(200, ""), "");
  EXPECT_EQ(PerformHttp(CallTo(peer.port())).status, 200);
  EXPECT_EQ(FailureOf(CallTo(peer.port())).outcome(), Outcome::kUnknown);
}

}  // namespace
}  // namespace turmericshift
