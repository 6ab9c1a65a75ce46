// Relays TCP connections and simulates network faults. Existing connections can be silenced: they
// stay open but carry no data, while new connections work.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/http_client.h"
#include "core/thread.h"

namespace turmericshift {

// A fault that applies to all connections, existing and new, while it is set.
enum class RelayFault {
  kNone,
  // No data is forwarded in either direction; it arrives once the fault is cleared.
  kSilent,
  // No data is forwarded from the connecting side to the target.
  kDropForward,
  // No data is forwarded from the target to the connecting side.
  kDropBackward,
  // Open and new connections are reset.
  kReset,
  // All data is delayed by 200 ms.
  kSlow,
};

// A process that connects to the relay's port is let in before the relay knows whether the target
// accepts, and learns later that the target refused. Callers of the relay's own process use Open.
class TcpRelay : public SocketOpener {
 public:
  // Relays to port `to` of the loopback address `ip`; 0 if the port is set later by Retarget.
  explicit TcpRelay(int to, const std::string& ip = "127.0.0.1");
  ~TcpRelay() override;
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  int port() const { return port_; }
  // Connects to the target on the calling thread. Returns a socket whose connection to the relay's
  // port is relayed to that connection, or -1 if the target refuses.
  int Open() noexcept override;
  // Closes the idle connections that the target has closed. Their threads do so too, but while they
  // have no processor a caller would send a request on such a connection.
  void CloseEndedIdleConnections();
  // Permanently stops the data of all connections that are open now.
  void Silence();
  void SetFault(RelayFault fault);
  // Stops the data of the connections, open and new, from the caller's ports that `affects` names;
  // data that was stopped arrives once it does not. Null: none.
  void SilenceCallers(std::function<bool(int)> affects);
  // Whether a fault has been set at any time since `since`, a time of LeaseClock.
  bool HadFaultSince(Time since) const;
  // Relays new connections to port `to`.
  void Retarget(int to) { to_.store(to); }
  int connections() const { return connections_.load(); }

 private:
  struct Pair;
  void Accept();
  // Returns a connection to the target, or -1 if it can't be opened.
  int ConnectToTarget() const;
  // Returns the connection to the target for the one accepted from `caller_port`, or -1.
  int TargetConnectionFor(int caller_port);
  // Relays between `near`, the connection to the caller, and `far`, the one to the target.
  void StartPair(int near, int far);
  void Forward(Pair* pair);
  void LogClosedByTarget(const Pair& pair) const;
  // Removes pairs whose connections have closed.
  void RemoveClosedPairs();

  const std::string ip_;
  std::atomic<int> to_;
  std::atomic<RelayFault> fault_{RelayFault::kNone};
  std::atomic<Time> fault_changed_{Time{}};
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<int> connections_{0};
  std::mutex mutex_;
  std::vector<std::unique_ptr<Pair>> pairs_;
  std::function<bool(int)> silenced_;
  // Connections made by Open, by the port of the caller's socket.
  std::map<int, int> opened_;
  Thread thread_;
};

}  // namespace turmericshift
