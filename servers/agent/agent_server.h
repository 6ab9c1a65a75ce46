// The agent: the process beside one target or worker. Serves the calls of entries and keeps
// sessions with several of them.
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
  // Initial entries, "IP:port". More are learned from these.
  std::vector<std::string> entries;
  int max_sessions = 3;
  int slots = 8;
  int connections = 64;
  Duration heartbeat = std::chrono::milliseconds(1000);
  // A session is suspect if a heartbeat is not answered within this time.
  Duration heartbeat_timeout = std::chrono::milliseconds(2000);
  // Time during which requests are still refused after every entry knows that this agent is
  // leaving. Requests sent just before then may still arrive and must not meet a closed connection.
  Duration leave_grace_period = std::chrono::milliseconds(300);
};

class AgentServer : public AgentPort {
 public:
  // `target` and `worker` may be null if there is none. All pointers must outlive the server.
  AgentServer(const AgentOptions& options, EntryConnector* connector, TargetService* target,
              WorkerService* worker, MetricsRegistry* metrics);
  ~AgentServer() override;
  AgentServer(const AgentServer&) = delete;
  AgentServer& operator=(const AgentServer&) = delete;

  ServiceAnswer Serve(const ServiceRequest& request) override;
  void Cancel(const std::string& request_id) override;
  RequestStatusReply Resolve(const RequestStatusQuery& question, Duration timeout) override;
  void Reserve(const GangReserve& reserve, Duration timeout) override;
  void Start(const GangStart& start, Duration timeout) override;
  void Release(const GangAction& action, Duration timeout) override;
  void Renew(const GangAction& action, Duration timeout) override;
  void Stop(const GangAction& action, Duration timeout) override;
  void Forget(const GangAction& action, Duration timeout) override;

  // Announces that the agent leaves, refuses new work, and waits up to `limit` for running requests
  // to end. Returns whether all ended.
  bool Leave(Duration limit);

  const StartGuard& guard() const { return guard_; }
  const std::string& zone() const { return options_.hello.zone; }

 private:
  void StartThreads();
  // Makes all threads end and joins them.
  void StopThreads();
  // Runs one session thread: opens sessions to the addresses that the plan selects.
  void RunSessions();
  void RunSession(const std::string& address);
  // Sends heartbeats until the session is no longer wanted or the agent stops. Sets `answered` once
  // the entry has answered one. Throws if the session is lost.
  void KeepSession(const std::string& address, EntryPort* port, bool* answered);
  void RunExpiry();
  // Sleeps for `duration`. Returns early, with true, if the agent stops.
  bool Pause(Duration duration);
  // Like Pause, but also returns early when a task's phase has changed.
  bool PauseUntilChange(Duration duration, int64_t changes);
  AgentHeartbeat MakeHeartbeat() const;
  GangHost& RequireWorker();
  // The steps of Serve: Admit registers the request with the ledger and records its result, Run
  // performs it at the target.
  ServiceAnswer Admit(const ServiceRequest& request);
  ServiceAnswer Run(const ServiceRequest& request, Time deadline);
  // Throws Error(kCancelled) if the request was cancelled.
  void RequireNotCancelled(const ServiceRequest& request);
  // Applies the slots and connections of the document in force.
  void ApplyLimits();
  // Records that the session with the entry has ended.
  void MarkClosed(const std::string& address);
  // Records that the entry knows that this agent is leaving.
  void MarkNotified(const std::string& address);
  // Whether every connected entry knows that this agent is leaving.
  bool AllEntriesNotified() const;
  // Makes every session send its next heartbeat now.
  void WakeHeartbeats();

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
  // Incremented with each change of a task's phase.
  std::atomic<int64_t> task_changes_{0};

  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  int serving_ = 0;
  // Entries with a session, and the entries that know that this agent is leaving.
  std::set<std::string> connected_;
  std::set<std::string> notified_of_leaving_;
  std::set<std::string> cancelled_;
  std::vector<Thread> sessions_;
  Thread expiry_;
};

}  // namespace turmericshift
