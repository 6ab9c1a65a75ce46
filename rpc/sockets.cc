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

// A connection ends if sent data is not acknowledged within this time.
constexpr unsigned kAckTimeoutMillis = 3000;
// TCP keepalive: an idle connection is probed after kProbeIdleSeconds, then every
// kProbeIntervalSeconds, and ends after kMaxProbes unanswered probes.
constexpr int kProbeIdleSeconds = 4;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kMaxProbes = 3;

}  // namespace

int ConnectSocket(const std::string& ip, int port, int timeout_ms) {
  const sockaddr_in address = SocketAddress(ip, port);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const int connect_result =
      connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (connect_result != 0) {
    pollfd waiting{fd, POLLOUT, 0};
    int failure = errno;
    socklen_t size = sizeof(failure);
    const bool in_progress = failure == EINPROGRESS;
    const bool expired = in_progress && poll(&waiting, 1, timeout_ms) != 1;
    if (in_progress && !expired) getsockopt(fd, SOL_SOCKET, SO_ERROR, &failure, &size);
    if (expired || failure != 0) {
      close(fd);
      const std::string peer = ip + ":" + std::to_string(port);
      if (expired) throw Error(ErrorKind::kDeadlineExceeded, Outcome::kNotRun, peer + " timed out");
      throw Error(ErrorKind::kUnavailable, Outcome::kNotRun, "can't connect to " + peer);
    }
  }
  return fd;
}

void EnableDeadPeerDetection(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kAckTimeoutMillis, sizeof(kAckTimeoutMillis));
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &kProbeIdleSeconds, sizeof(kProbeIdleSeconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &kProbeIntervalSeconds, sizeof(kProbeIntervalSeconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kMaxProbes, sizeof(kMaxProbes));
}

}  // namespace turmericshift
