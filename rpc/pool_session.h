// Sessions of a pool: the listening side at every entry, the calling side at agents and entries.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "core/thread.h"
#include "rpc/session.h"
#include "servers/pool/planner_gate.h"

namespace turmericshift {

struct PoolListenerOptions {
  std::string address = "127.0.0.1";
  // 0 lets the system choose; see PoolListener::port().
  int port = 0;
  // A session costs some 42 KB; 1,400 agents are more than one entry of the smallest kind carries.
  int max_sessions = 600;
};

class PoolListener {
 public:
  // Listens at once. `gate` must outlive the listener. Throws Error(kUnavailable).
  PoolListener(const PoolListenerOptions& options, pool::PlannerGate* gate);
  // Closes every session and waits for their threads.
  ~PoolListener();
  PoolListener(const PoolListener&) = delete;
  PoolListener& operator=(const PoolListener&) = delete;

  int port() const { return port_; }

 private:
  void Accept();
  void Open(int fd);

  const PoolListenerOptions options_;
  pool::PlannerGate* const gate_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::vector<std::weak_ptr<Session>> sessions_;
  Thread thread_;
};

class RpcPlannerConnector : public pool::PlannerConnector {
 public:
  std::shared_ptr<pool::PlannerPort> Connect(const std::string& address) override;
};

}  // namespace turmericshift
