// Stands between two ends of TCP connections and can lose track of those it has, so that they stay
// open and carry nothing any more while new ones work; and has the faults of a network.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/thread.h"

namespace turmericshift {

// What happens to all connections, old and new, while it is in force.
enum class RelayFault {
  kNone,
  // Nothing is carried either way; what was sent arrives when the fault is over.
  kSilent,
  // Nothing is carried from those who connect, or back to them.
  kDropForward,
  kDropBackward,
  // Open connections are reset, new ones too.
  kReset,
  // Whatever is carried takes a fifth of a second longer.
  kSlow,
};

class TcpRelay {
 public:
  // Relays to port `to` of the loopback address `ip`; 0: to nobody yet.
  explicit TcpRelay(int to, const std::string& ip = "127.0.0.1");
  ~TcpRelay();
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  int port() const { return port_; }
  // Every connection open now goes silent for good.
  void Silence();
  void SetFault(RelayFault fault);
  // Whether a fault has been in force at any time since `since`, by the clock for leases.
  bool HadFaultSince(Time since) const;
  // New connections go there.
  void Retarget(int to) { to_.store(to); }
  int connections() const { return connections_.load(); }

 private:
  struct Pair;
  void Accept();
  void Forward(Pair* pair) const;
  // Pairs whose connections have closed.
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
  Thread thread_;
};

}  // namespace turmericshift
