#include "tests/stand_ins/tcp_relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

#include "core/error.h"
#include "core/logging.h"

namespace turmericshift {
namespace {

constexpr int kPollMillis = 20;
constexpr size_t kChunkBytes = 4096;
// As long as an HTTP client waits for a connection.
constexpr std::chrono::seconds kConnectTimeout(2);
constexpr useconds_t kSlowMicros = 200'000;

sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<uint16_t>(port));
  return address;
}

struct Chunk {
  std::array<char, kChunkBytes> bytes{};
  ssize_t size = 0;
};

// Returns false once the sending end has closed.
bool Receive(int from, Chunk* chunk) {
  chunk->size = recv(from, chunk->bytes.data(), chunk->bytes.size(), 0);
  return chunk->size > 0;
}

bool Send(const Chunk& chunk, int to) {
  return send(to, chunk.bytes.data(), static_cast<size_t>(chunk.size), MSG_NOSIGNAL) == chunk.size;
}

// Makes close() send a reset instead of an orderly shutdown.
void ResetOnClose(int fd) {
  const linger at_once = {1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
}

void SetSendTimeout(int fd, std::chrono::seconds timeout) {
  const timeval limit = {timeout.count(), 0};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
}

// Whether the other end has closed the connection and all that it sent has been read.
bool HasEnded(int fd) {
  char byte = 0;
  const ssize_t size = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size == 0 || (size < 0 && errno != EAGAIN);
}

// Returns the port at the other end of the connection.
int PeerPort(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getpeername(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// Returns the socket's own port.
int BindLoopbackPort(int fd) {
  sockaddr_in address = AddressOf("127.0.0.1", 0);
  socklen_t size = sizeof(address);
  const bool bound = bind(fd, reinterpret_cast<const sockaddr*>(&address), size) == 0 &&
                     getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0;
  return bound ? ntohs(address.sin_port) : -1;
}

}  // namespace

struct TcpRelay::Pair {
  int near = -1;
  int far = -1;
  std::atomic<bool> silent{false};
  std::atomic<bool> closed{false};
  // When data was last forwarded, or Time{} if data came back since.
  std::atomic<Time> unanswered_since{Time{}};
  Thread thread;
};

TcpRelay::TcpRelay(int to, const std::string& ip) : ip_(ip), to_(to) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = AddressOf("127.0.0.1", 0);
  socklen_t size = sizeof(address);
  const bool bound = bind(listener_, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
                     listen(listener_, SOMAXCONN) == 0 &&
                     getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size) == 0;
  if (!bound) throw Error(ErrorKind::kUnavailable, "the relay cannot bind a loopback port");
  port_ = ntohs(address.sin_port);
  thread_ = Thread("relay", [this] { Accept(); });
}

TcpRelay::~TcpRelay() {
  stopping_.store(true);
  thread_.Join();
  close(listener_);
  for (const auto& pair : pairs_) pair->thread.Join();
  for (const auto& [port, far] : opened_) close(far);
}

void TcpRelay::SetFault(RelayFault fault) {
  fault_.store(fault);
  fault_changed_.store(LeaseClock().Now());
}

bool TcpRelay::HadFaultSince(Time since) const {
  return fault_.load() != RelayFault::kNone || fault_changed_.load() >= since;
}

void TcpRelay::Silence() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& pair : pairs_) pair->silent.store(true);
}

void TcpRelay::SilenceCallers(std::function<bool(int)> affects) {
  const std::lock_guard<std::mutex> lock(mutex_);
  silenced_ = std::move(affects);
  for (const auto& pair : pairs_) {
    if (!pair->closed.load()) pair->silent.store(silenced_ && silenced_(PeerPort(pair->near)));
  }
}

void TcpRelay::RemoveClosedPairs() {
  // Destroyed without the lock, as this joins their threads.
  std::vector<std::unique_ptr<Pair>> closed;
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto& pair : pairs_) {
    if (pair->closed.load()) closed.push_back(std::move(pair));
  }
  std::erase(pairs_, nullptr);
}

int TcpRelay::ConnectToTarget() const {
  const int far = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = AddressOf(ip_, to_.load());
  // Limits the connect call as well.
  SetSendTimeout(far, kConnectTimeout);
  if (connect(far, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    LogEvent(LogLevel::kInfo, "relay_refused",
             {{"port", port_}, {"error", std::generic_category().message(errno)}});
    close(far);
    return -1;
  }
  SetSendTimeout(far, std::chrono::seconds(0));
  return far;
}

void TcpRelay::StartPair(int near, int far) {
  auto pair = std::make_unique<Pair>();
  pair->near = near;
  pair->far = far;
  Pair* raw = pair.get();
  connections_.fetch_add(1);
  const std::lock_guard<std::mutex> lock(mutex_);
  pair->silent.store(silenced_ && silenced_(PeerPort(near)));
  pair->thread = Thread("relay-pair", [this, raw] { Forward(raw); });
  pairs_.push_back(std::move(pair));
}

int TcpRelay::Open() noexcept {
  int far = -1;
  if (fault_.load() != RelayFault::kReset) {
    far = ConnectToTarget();
    if (far < 0) return -1;
  }
  const int caller = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int port = BindLoopbackPort(caller);
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto [opened, added] = opened_.emplace(port, far);
  if (!added) {
    // The HTTP client closed the earlier socket with this port without connecting it.
    close(opened->second);
    opened->second = far;
  }
  return caller;
}

int TcpRelay::TargetConnectionFor(int caller_port) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto opened = opened_.find(caller_port);
    if (opened != opened_.end()) {
      const int far = opened->second;
      opened_.erase(opened);
      return far;
    }
  }
  return fault_.load() == RelayFault::kReset ? -1 : ConnectToTarget();
}

void TcpRelay::Accept() {
  while (!stopping_.load()) {
    RemoveClosedPairs();
    pollfd waiting{listener_, POLLIN, 0};
    if (poll(&waiting, 1, kPollMillis) <= 0) continue;
    sockaddr_in caller{};
    socklen_t size = sizeof(caller);
    const int near = accept4(listener_, reinterpret_cast<sockaddr*>(&caller), &size, SOCK_CLOEXEC);
    const int far = TargetConnectionFor(ntohs(caller.sin_port));
    if (far < 0) {
      ResetOnClose(near);
      close(near);
      continue;
    }
    StartPair(near, far);
  }
}

void TcpRelay::CloseEndedIdleConnections() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (fault_.load() != RelayFault::kNone) return;
  for (const auto& pair : pairs_) {
    const bool idle = pair->unanswered_since.load() == Time{};
    if (pair->closed.load() || pair->silent.load() || !idle) continue;
    if (!HasEnded(pair->far)) continue;
    LogClosedByTarget(*pair);
    shutdown(pair->near, SHUT_RDWR);
  }
}

// Says whether data that the target has not answered was forwarded to it, or did not reach it.
void TcpRelay::LogClosedByTarget(const Pair& pair) const {
  int not_forwarded = 0;
  ioctl(pair.near, FIONREAD, &not_forwarded);
  const Time unanswered_since = pair.unanswered_since.load();
  if (unanswered_since == Time{} && not_forwarded == 0) return;
  nlohmann::json fields = {{"port", port_}, {"bytes_not_forwarded", not_forwarded}};
  if (unanswered_since != Time{}) {
    fields["unanswered_s"] = Seconds(LeaseClock().Now() - unanswered_since);
  }
  LogEvent(LogLevel::kInfo, "relay_closed_by_target", fields);
}

void TcpRelay::Forward(Pair* pair) {
  bool open = true;
  Chunk chunk;
  while (open && !stopping_.load()) {
    const RelayFault fault = fault_.load();
    if (fault == RelayFault::kReset) {
      ResetOnClose(pair->near);
      ResetOnClose(pair->far);
      break;
    }
    // Blocked data is not read either, so that neither end notices the fault.
    const bool silent = pair->silent.load() || fault == RelayFault::kSilent;
    const bool forward = !silent && fault != RelayFault::kDropForward;
    const bool backward = !silent && fault != RelayFault::kDropBackward;
    std::array<pollfd, 2> ends{
        {{forward ? pair->near : -1, POLLIN, 0}, {backward ? pair->far : -1, POLLIN, 0}}};
    if (poll(ends.data(), ends.size(), kPollMillis) <= 0) continue;
    if (fault == RelayFault::kSlow) usleep(kSlowMicros);
    if (ends[0].revents != 0) {
      // A request for a target that has ended stays unread, so that the log counts its bytes.
      if (backward && HasEnded(pair->far)) {
        LogClosedByTarget(*pair);
        break;
      }
      open = Receive(pair->near, &chunk) && Send(chunk, pair->far);
      pair->unanswered_since.store(LeaseClock().Now());
    }
    if (open && ends[1].revents != 0) {
      open = Receive(pair->far, &chunk);
      // Before the caller has the answer, since its next request needs to know.
      if (open) pair->unanswered_since.store(Time{});
      open = open && Send(chunk, pair->near);
      if (!open) LogClosedByTarget(*pair);
    }
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  close(pair->near);
  close(pair->far);
  pair->closed.store(true);
}

}  // namespace turmericshift
