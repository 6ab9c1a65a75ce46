#include "tests/stand_ins/tcp_relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <optional>

#include "core/error.h"
#include "core/logging.h"

namespace turmericshift {
namespace {

constexpr int kPollMillis = 20;
constexpr size_t kChunkBytes = 4096;
constexpr useconds_t kSlowMicros = 200'000;

sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<uint16_t>(port));
  return address;
}

// Copies one chunk from one end to the other; false once the sending end has closed.
bool CopyChunk(int from, int to) {
  std::array<char, kChunkBytes> chunk{};
  const ssize_t size = recv(from, chunk.data(), chunk.size(), 0);
  if (size <= 0) return false;
  return send(to, chunk.data(), static_cast<size_t>(size), MSG_NOSIGNAL) == size;
}

// Makes close() send a reset instead of an orderly shutdown.
void Reset(int fd) {
  const linger at_once = {1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
}

}  // namespace

struct TcpRelay::Pair {
  int near = -1;
  int far = -1;
  std::atomic<bool> silent{false};
  std::atomic<bool> closed{false};
  // When data was last forwarded, unless data came back since.
  std::optional<Time> unanswered_since;
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

void TcpRelay::RemoveClosedPairs() {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::erase_if(pairs_, [](const auto& pair) { return pair->closed.load(); });
}

void TcpRelay::Accept() {
  while (!stopping_.load()) {
    RemoveClosedPairs();
    pollfd waiting{listener_, POLLIN, 0};
    if (poll(&waiting, 1, kPollMillis) <= 0) continue;
    auto pair = std::make_unique<Pair>();
    pair->near = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    pair->far = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = AddressOf(ip_, to_.load());
    const bool refused =
        fault_.load() == RelayFault::kReset ||
        connect(pair->far, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0;
    if (refused) {
      LogEvent(LogLevel::kInfo, "relay_refused", {{"port", port_}});
      Reset(pair->near);
      close(pair->near);
      close(pair->far);
      continue;
    }
    connections_.fetch_add(1);
    Pair* raw = pair.get();
    pair->thread = Thread("relay-pair", [this, raw] { Forward(raw); });
    const std::lock_guard<std::mutex> lock(mutex_);
    pairs_.push_back(std::move(pair));
  }
}

// Says whether data that the target has not answered was forwarded to it, or did not reach it.
void TcpRelay::LogClosedByTarget(const Pair& pair) const {
  int not_forwarded = 0;
  ioctl(pair.near, FIONREAD, &not_forwarded);
  if (!pair.unanswered_since && not_forwarded == 0) return;
  nlohmann::json fields = {{"port", port_}, {"bytes_not_forwarded", not_forwarded}};
  if (pair.unanswered_since) {
    fields["unanswered_s"] = Seconds(LeaseClock().Now() - *pair.unanswered_since);
  }
  LogEvent(LogLevel::kInfo, "relay_closed_by_target", fields);
}

void TcpRelay::Forward(Pair* pair) const {
  bool open = true;
  while (open && !stopping_.load()) {
    const RelayFault fault = fault_.load();
    if (fault == RelayFault::kReset) {
      Reset(pair->near);
      Reset(pair->far);
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
      open = CopyChunk(pair->near, pair->far);
      pair->unanswered_since = LeaseClock().Now();
    }
    if (open && ends[1].revents != 0) {
      open = CopyChunk(pair->far, pair->near);
      if (open) pair->unanswered_since.reset();
      if (!open) LogClosedByTarget(*pair);
    }
  }
  close(pair->near);
  close(pair->far);
  pair->closed.store(true);
}

}  // namespace turmericshift
