// The entry process: HTTP APIs for callers and operators, sessions with agents, replicas of the
// log's state, and leadership of planning for availability zones.
#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "core/http_server.h"
#include "core/metrics.h"
#include "core/thread.h"
#include "servers/entry/agent_directory.h"
#include "servers/entry/peer_view.h"
#include "servers/entry/request_router.h"
#include "servers/entry/token_table.h"
#include "servers/planner/zone_planner_manager.h"
#include "servers/ports/entry_port.h"
#include "servers/state/replicated_config.h"
#include "servers/state/replicated_jobs.h"
#include "servers/state/replicated_members.h"
#include "servers/state/replicated_requests.h"
#include "servers/state/stream_client.h"

namespace turmericshift {

struct EntryOptions {
  std::string process;
  std::string zone;
  // Name of the environment that the log belongs to, such as "trial"; empty accepts any.
  std::string environment;
  // Key that signs this environment's statements and verifies those of `trial`.
  std::string promotion_key;
  // Name of the trial environment: a document may be published here only after it was in force
  // there. Empty if documents are published here without a trial.
  std::string trial;
  // This process's share of the log's append rate.
  double appends_per_second = 60;
  // Must be well below the log's retention.
  Duration snapshot_period = std::chrono::minutes(10);
  HttpServerOptions caller_http;
  HttpServerOptions operator_http;
  // Token that operators can use even before the first document is in force; empty if there is
  // none.
  std::string operator_token;
  std::string routing_policy = "two_choices";
  bool eject_outliers = true;
  std::string placement_policy = "cells";
  uint64_t seed = 1;
  // How long a leaving entry keeps accepting callers, so that the load balancer can notice first.
  Duration balancer_notice = Duration::zero();
};

class EntryServer : public EntryGate {
 public:
  // `log` must outlive the server. The server accepts connections when the constructor returns;
  // ready() tells whether it has read the log.
  EntryServer(const EntryOptions& options, LogService* log, MetricsRegistry* metrics);
  ~EntryServer() override;
  EntryServer(const EntryServer&) = delete;
  EntryServer& operator=(const EntryServer&) = delete;

  std::shared_ptr<EntryPort> OpenAgent(const AgentHello& hello,
                                       std::shared_ptr<AgentPort> agent) override;

  // Sets the address at which agents reach this entry, and publishes it to entries and agents.
  void AnnounceAddress(const std::string& address);

  int caller_port() const { return caller_http_->port(); }
  int operator_port() const { return operator_http_->port(); }
  bool ready() const;

  // Stops gracefully: reports not ready, finishes requests in flight and records its departure in
  // the members stream. Returns whether all requests ended within `limit`.
  bool Leave(Duration limit);

 private:
  friend class CallerApi;
  friend class ConfigApi;
  friend class OperatorApi;
  class AgentSession;

  std::string CallerAddress(const std::string& peer_address) const;
  StreamOptions OptionsFor(Stream stream);
  void WaitForBalancer() const;
  HeartbeatReply MakeHeartbeatReply(const AgentHello& hello, const AgentHeartbeat& beat) const;
  std::vector<EntryMember> KnownEntries(Time now) const;
  // Records this entry as a member if the members stream doesn't list it.
  void JoinIfMissing();
  // Records the departure of entries from which no agent has received an answer for kMemberTimeout.
  void RemoveSilentMembers(Time now);
  void RunUpkeep();
  // Periodic work: membership and snapshots. Failures are logged and retried in the next round.
  void Upkeep(Time now);

  const EntryOptions options_;
  MetricsRegistry* const metrics_;
  const std::string incarnation_;
  const Time started_ = DefaultClock().Now();
  std::atomic<bool> leaving_{false};

  ReplicatedConfig replicated_config_;
  ReplicatedJobs replicated_jobs_;
  ReplicatedRequests replicated_requests_;
  ReplicatedMembers replicated_members_;
  AppendBudget budget_;
  StreamClient config_stream_;
  StreamClient job_stream_;
  StreamClient request_stream_;
  StreamClient member_stream_;

  AgentDirectory directory_;
  PeerView peers_;
  TokenTable tokens_;
  std::unique_ptr<RequestRouter> router_;
  std::unique_ptr<ZonePlannerManager> planners_;
  std::unique_ptr<HttpServer> caller_http_;
  std::unique_ptr<HttpServer> operator_http_;

  mutable std::mutex mutex_;
  std::condition_variable stop_;
  bool stopping_ = false;
  std::string address_;
  // When each silent entry was first found to be silent, by process name.
  std::map<std::string, Time> silent_since_;
  Thread upkeep_;
};

}  // namespace turmericshift
