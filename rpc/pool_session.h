// Sessions of a pool: the listener of every entry, and the client that agents and entries use.
#pragma once

#include <kj/async.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "core/thread.h"
#include "rpc/session.h"
#include "servers/pool/planner_gate.h"

namespace turmericshift {

struct PoolListenerOptions {
  std::string address = "127.0.0.1";
  // 0 lets the system choose a port; see PoolListener::port().
  int port = 0;
};

// Serves all connections on one thread, so handlers must not block. A thread for each connection,
// as class Session has, would need three descriptors for its event loop; an entry VM may have 200
// descriptors that are not sockets, which is too few for 67 agents.
class PoolListener {
 public:
  // Starts to listen. `gate` must outlive the listener. Throws Error(kUnavailable).
  PoolListener(const PoolListenerOptions& options, pool::PlannerGate* gate);
  // Closes every connection.
  ~PoolListener();
  PoolListener(const PoolListener&) = delete;
  PoolListener& operator=(const PoolListener&) = delete;

  int port() const { return port_; }
  // Number of connections that could not be accepted, usually for lack of descriptors.
  int64_t accept_failures() const { return accept_failures_.load(); }

 private:
  class Acceptor;

  void Serve(int listener, pool::PlannerGate* gate);
  // Lets the constructor return. `stop` ends the thread's loop; it is null if the loop did not
  // start or has ended.
  void SignalStarted(kj::Own<kj::CrossThreadPromiseFulfiller<void>> stop);

  int port_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  // The thread's loop runs or has failed to start.
  bool started_ = false;
  std::atomic<int64_t> accept_failures_{0};
  // Ends the thread's loop. Empty if the loop did not start.
  std::optional<kj::Own<kj::CrossThreadPromiseFulfiller<void>>> stop_;
  Thread thread_;
};

class RpcPlannerConnector : public pool::PlannerConnector {
 public:
  std::shared_ptr<pool::PlannerClient> Connect(const std::string& address, Duration limit) override;
  std::shared_ptr<pool::PlannerClient> ConnectThrough(const std::string& relay,
                                                      const pool::PlannerRecord& planner,
                                                      Duration limit) override;
};

}  // namespace turmericshift
