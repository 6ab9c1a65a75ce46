// Sessions of a pool: the listening side at every entry, the calling side at agents and entries.
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
  // 0 lets the system choose; see PoolListener::port().
  int port = 0;
};

// One thread serves all connections. A thread for each, as sessions elsewhere have, takes three
// descriptors of its event loop each, and an entry VM may hold 200 that are not sockets: 67 agents
// would not fit. Handlers must not block.
class PoolListener {
 public:
  // Listens at once. `gate` must outlive the listener. Throws Error(kUnavailable).
  PoolListener(const PoolListenerOptions& options, pool::PlannerGate* gate);
  // Closes every connection.
  ~PoolListener();
  PoolListener(const PoolListener&) = delete;
  PoolListener& operator=(const PoolListener&) = delete;

  int port() const { return port_; }
  // Connections that could not be taken, for want of descriptors as a rule.
  int64_t accept_failures() const { return accept_failures_.load(); }

 private:
  class Acceptor;

  void Serve(int listener, pool::PlannerGate* gate);
  // Lets the constructor go on; `stop` is null when nothing is served.
  void Begun(kj::Own<kj::CrossThreadPromiseFulfiller<void>> stop);

  int port_ = 0;
  std::mutex mutex_;
  std::condition_variable changed_;
  // The thread serves, or has failed to.
  bool begun_ = false;
  std::atomic<int64_t> accept_failures_{0};
  // Ends the thread's loop; set while it runs.
  std::optional<kj::Own<kj::CrossThreadPromiseFulfiller<void>>> stop_;
  Thread thread_;
};

class RpcPlannerConnector : public pool::PlannerConnector {
 public:
  std::shared_ptr<pool::PlannerClient> Connect(const std::string& address, Duration limit) override;
  std::shared_ptr<pool::PlannerClient> ConnectThrough(const std::string& relay, int64_t epoch,
                                                      Duration limit) override;
};

}  // namespace turmericshift
