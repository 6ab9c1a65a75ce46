#include "rpc/sockets.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

#include "core/error.h"
#include "core/listen_socket.h"

namespace turmericshift {
namespace {

// Bytes sent and not acknowledged for so long end the connection.
constexpr unsigned kUnacknowledgedMillis = 3000;
// An idle connection is probed after this many seconds, and given up after so many probes.
constexpr int kProbeIdleSeconds = 4;
constexpr int kProbeEverySeconds = 1;
constexpr int kProbes = 3;

}  // namespace

int ConnectSocket(const std::string& ip, int port, int limit_ms) {
  const sockaddr_in address = SocketAddress(ip, port);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int begun = connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (begun != 0) {
    pollfd waiting{fd, POLLOUT, 0};
    int failure = errno;
    socklen_t size = sizeof(failure);
    const bool under_way = failure == EINPROGRESS;
    const bool silent = under_way && poll(&waiting, 1, limit_ms) != 1;
    if (under_way && !silent) getsockopt(fd, SOL_SOCKET, SO_ERROR, &failure, &size);
    if (silent || failure != 0) {
      close(fd);
      const std::string peer = ip + ":" + std::to_string(port);
      if (silent) throw Error(ErrorKind::kDeadlineExceeded, Outcome::kNotRun, peer + " is silent");
      throw Error(ErrorKind::kUnavailable, Outcome::kNotRun, "nothing answers at " + peer);
    }
  }
  return fd;
}

void LimitSilence(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnacknowledgedMillis,
             sizeof(kUnacknowledgedMillis));
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &kProbeIdleSeconds, sizeof(kProbeIdleSeconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &kProbeEverySeconds, sizeof(kProbeEverySeconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof(kProbes));
}

}  // namespace turmericshift
