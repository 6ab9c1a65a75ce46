#include "core/listen_socket.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/error.h"
#include "core/http_server.h"

namespace turmericshift {
namespace {

constexpr const char* kLoopback = "127.0.0.1";

// An entry that was started again in place ended at once, since its port was another's for a
// moment.
TEST(ListenSocket, WaitsForAPortThatIsTakenForAMoment) {
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

TEST(ListenSocket, GivesUpAPortThatStaysTaken) {
  const int holder = ListenSocket(kLoopback, 0);
  Duration waited{};
  try {
    ListenSocket(kLoopback, BoundPort(holder), [&](Duration pause) { waited += pause; });
    ADD_FAILURE() << "two sockets listen on one port";
  } catch (const Error& error) {
    EXPECT_EQ(error.kind(), ErrorKind::kUnavailable);
  }
  EXPECT_GE(waited, std::chrono::seconds(4));
  EXPECT_LE(waited, std::chrono::seconds(10));
  close(holder);
}

// Two processes on one port share its callers, and those of a process that hangs get no answer.
TEST(ListenSocket, AServersPortIsItsAlone) {
  const HttpServer server({}, [](const HttpRequest&) { return HttpResponse(); });
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
  const sockaddr_in address = SocketAddress(kLoopback, server.port());
  EXPECT_NE(bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)), 0);
  close(fd);
}

TEST(ListenSocket, RefusesWhatIsNoAddress) { EXPECT_THROW(ListenSocket("localhost", 0), Error); }

}  // namespace
}  // namespace turmericshift
