#include "core/listen_socket.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/error.h"
#include "core/http_server.h"

namespace turmericshift {
namespace {

constexpr const char* kLoopback = "127.0.0.1";

// An entry that was restarted in place exited immediately because its port was still in use.
TEST(ListenSocket, RetriesWhileThePortIsInUse) {
  const int holder = ListenSocket(kLoopback, 0);
  const int port = BoundPort(holder);
  int pauses = 0;
  const int fd = ListenSocket(kLoopback, port, [&](Duration) {
    if (++pauses == 2) close(holder);
  });
  EXPECT_EQ(pauses, 2);
  EXPECT_EQ(BoundPort(fd), port);
  close(fd);
}

TEST(ListenSocket, GivesUpIfThePortStaysInUse) {
  const int holder = ListenSocket(kLoopback, 0);
  Duration waited{};
  try {
    ListenSocket(kLoopback, BoundPort(holder), [&](Duration pause) { waited += pause; });
    ADD_FAILURE() << "opened a second listening socket on a port in use";
  } catch (const Error& error) {
    EXPECT_EQ(error.kind(), ErrorKind::kUnavailable);
  }
  EXPECT_GE(waited, std::chrono::seconds(4));
  EXPECT_LE(waited, std::chrono::seconds(10));
  close(holder);
}

// If two processes listened on one port, the system would spread callers over both, and callers of
// a process that hangs would get no response.
TEST(ListenSocket, PortIsNotShared) {
  const HttpServer server({}, [](const HttpRequest&) { return HttpResponse(); });
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
  const sockaddr_in address = SocketAddress(kLoopback, server.port());
  EXPECT_NE(bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
  close(fd);
}

TEST(ListenSocket, RejectsInvalidAddress) { EXPECT_THROW(ListenSocket("localhost", 0), Error); }

}  // namespace
}  // namespace turmericshift
