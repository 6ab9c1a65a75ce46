#include "core/listen_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <thread>

#include "core/error.h"
#include "core/logging.h"

namespace turmericshift {
namespace {

constexpr int kMaxTries = 50;
constexpr Duration kRetryInterval = std::chrono::milliseconds(100);

// Returns the socket, or -1 with errno set.
int TryToListen(const sockaddr_in& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 &&
      listen(fd, SOMAXCONN) == 0) {
    return fd;
  }
  const int failure = errno;
  close(fd);
  errno = failure;
  return -1;
}

}  // namespace

sockaddr_in SocketAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
    throw Error(ErrorKind::kInvalidInput, ip + " is not an IPv4 address");
  }
  return address;
}

void SleepFor(Duration duration) { std::this_thread::sleep_for(duration); }

int ListenSocket(const std::string& address, int port, const Pause& pause) {
  const sockaddr_in to = SocketAddress(address, port);
  const std::string where = address + ":" + std::to_string(port);
  for (int tries = 1;; ++tries) {
    const int fd = TryToListen(to);
    if (fd >= 0) return fd;
    const int failure = errno;
    const bool in_use = failure == EADDRINUSE && port != 0;
    if (!in_use || tries >= kMaxTries) {
      throw Error(ErrorKind::kUnavailable,
                  "can't listen on " + where + ": " + std::generic_category().message(failure));
    }
    if (tries == 1) LogEvent(LogLevel::kWarning, "port_taken", {{"address", where}});
    pause(kRetryInterval);
  }
}

int BoundPort(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

}  // namespace turmericshift
