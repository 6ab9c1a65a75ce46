// The agent: the process beside one target or worker. Serves entries' calls and keeps a session
// with each entry it knows.
#pragma once

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "core/thread.h"
#include "servers/agent/gang_host.h"
#include "servers/agent/request_ledger.h"
#include "servers/agent/session_plan.h"
#include "servers/agent/slot_limiter.h"
#include "servers/agent/start_guard.h"
#include "servers/platform/target_service.h"
#include "servers/ports/entry_port.h"

namespace turmericshift {

struct AgentOptions {
  AgentHello hello;
  // Entries to begin with, "IP:port"; others are learned from them.
  std::vector<std::string> entries;
  int max_sessions = 3;
  int slots = 8;
  int connections = 64;
  Duration heartbeat = std::chrono::milliseconds(1000);
  // A session whose heartbeat is not answered for this long is suspect.
  Duration heartbeat_timeout = std::chrono::milliseconds(2000);
  // After every entry has heard that this agent leaves, requests that they had sent just before
  // may still arrive; they are refused for this long, so that none is met by a closed connection.
  Duration leave_grace_period = std::chrono::milliseconds(300);
};

class AgentServer : public AgentPort {
 public:
  // `target` and `worker` may be null when there is none. All must outlive the server.
  AgentServer(const AgentOptions& options, EntryConnector* connector, TargetService* target,
              WorkerService* worker, MetricsRegistry* metrics);
  ~AgentServer() override;
  AgentServer(const AgentServer&) = delete;
  AgentServer& operator=(const AgentServer&) = delete;

  ServiceAnswer Serve(const ServiceRequest& request) override;
  void Cancel(const std::string& request_id) override;
  SeenAnswer Resolve(const SeenQuestion& question, Duration timeout) override;
  void Reserve(const GangReserve& reserve, Duration timeout) override;
  void Start(const GangStart& start, Duration timeout) override;
  void Release(const GangAction& action, Duration timeout) override;
  void Renew(const GangAction& action, Duration timeout) override;
  void Stop(const GangAction& action, Duration timeout) override;
  void Forget(const GangAction& action, Duration timeout) override;

  // Announces that it leaves, takes no new work, and waits until what runs has ended, at most
  // `limit`. Returns whether all ended.
  bool Leave(Duration limit);

  const StartGuard& guard() const { return guard_; }
  const std::string& zone() const { return options_.hello.zone; }

 private:
  // One of the session threads: opens a session where the plan says, keeps it, and starts over.
  void RunSessions();
  void RunSession(const std::string& address);
  // Returns when the session is not wanted any more or the agent stops. Throws when it is lost.
  void KeepSession(const std::string& address, EntryPort* port);
  void RunExpiry();
  // Returns whether the agent stops.
  bool Pause(Duration duration);
  // Returns early when a task has changed its phase; returns whether the server stops.
  bool PauseUntilChange(Duration duration, int64_t changes);
  AgentBeat MakeBeat() const;
  GangHost& RequireWorker();
  // Serve after and before the counting: the ledger's part, then the target's.
  ServiceAnswer Admit(const ServiceRequest& request);
  ServiceAnswer Run(const ServiceRequest& request, Time deadline);
  // Throws Error(kCancelled) when the request's caller has gone.
  void RequireWanted(const ServiceRequest& request);
  // Takes over slots and connections of the document in force.
  void ApplyLimits();
  // The session with the entry has ended.
  void MarkClosed(const std::string& address);
  // The entry has heard that this agent leaves.
  void MarkTold(const std::string& address);
  // Every connected entry has heard that this agent leaves.
  bool AllTold() const;
  // Has every session send its next heartbeat now.
  void WakeBeats();

  const AgentOptions options_;
  EntryConnector* const connector_;
  TargetService* const target_;
  Counter* const served_;
  Counter* const refused_;
  SlotLimiter limiter_;
  RequestLedger ledger_;
  StartGuard guard_;
  SessionPlan plan_;
  std::unique_ptr<GangHost> gangs_;
  std::atomic<bool> leaving_{false};
  // Rises with each change of a task's phase.
  std::atomic<int64_t> task_changes_{0};

  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  int serving_ = 0;
  // Entries with a session, and those among them that have heard that this agent leaves.
  std::set<std::string> connected_;
  std::set<std::string> told_leaving_;
  std::set<std::string> cancelled_;
  std::vector<Thread> sessions_;
  Thread expiry_;
};

}  // namespace turmericshift
