// The entry: HTTP towards callers and operators, sessions with agents, folds of the log, and the
// planner's duty for its zone.
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
#include "servers/state/config_fold.h"
#include "servers/state/job_fold.h"
#include "servers/state/member_fold.h"
#include "servers/state/request_fold.h"
#include "servers/state/stream_client.h"

namespace turmericshift {

struct EntryOptions {
  std::string process;
  std::string zone;
  // Name of the environment whose log this is, such as "trial"; empty: any.
  std::string environment;
  // Signs statements of what is in force here, and checks those of `trial`.
  std::string promotion_key;
  // Name of the environment that must have had a document in force before it is published here;
  // empty: documents are published directly.
  std::string trial;
  // This process's part of what the log takes.
  double appends_per_second = 60;
  // Well inside the log's retention.
  Duration snapshot_period = std::chrono::minutes(10);
  HttpServerOptions caller_http;
  HttpServerOptions operator_http;
  // Lets operators in before the first document; empty: none.
  std::string operator_token;
  std::string routing_policy = "two_choices";
  bool eject_outliers = true;
  std::string placement_policy = "cells";
  uint64_t seed = 1;
  // How long a leaving entry goes on taking callers in, so that the balancer notices first.
  Duration balancer_notice = Duration::zero();
};

class EntryServer : public EntryGate {
 public:
  // `log` must outlive the server. Serves when the constructor returns; ready() says whether it
  // has read the log.
  EntryServer(const EntryOptions& options, LogService* log, MetricsRegistry* metrics);
  ~EntryServer() override;
  EntryServer(const EntryServer&) = delete;
  EntryServer& operator=(const EntryServer&) = delete;

  std::shared_ptr<EntryPort> OpenAgent(const AgentHello& hello,
                                       std::shared_ptr<AgentPort> agent) override;

  // Where agents reach this entry; published to other entries and to agents.
  void AnnounceAddress(const std::string& address);

  int caller_port() const { return caller_http_->port(); }
  int operator_port() const { return operator_http_->port(); }
  bool ready() const;

  // Stops gracefully: reports not ready, finishes what is in flight, leaves the members stream.
  // Returns whether everything in flight ended within `limit`.
  bool Leave(Duration limit);

 private:
  friend class CallerApi;
  friend class ConfigApi;
  friend class OperatorApi;
  class Port;

  std::string CallerAddress(const std::string& peer_address) const;
  StreamOptions OptionsFor(Stream stream);
  void WaitForBalancer() const;
  EntryBeat MakeBeat(const AgentHello& hello, const AgentBeat& beat) const;
  std::vector<EntryMember> KnownEntries(Time now) const;
  // Records this entry as a member, and again when it finds itself missing.
  void JoinIfMissing();
  // Records that entries have gone of which nothing was heard for long.
  void DropSilentMembers(Time now);
  void RunUpkeep();
  // Whatever must be done every second or so; failures wait for the next round.
  void Upkeep(Time now);

  const EntryOptions options_;
  MetricsRegistry* const metrics_;
  const std::string incarnation_;
  const Time started_ = DefaultClock().Now();
  std::atomic<bool> leaving_{false};

  ConfigFold config_fold_;
  JobFold job_fold_;
  RequestFold request_fold_;
  MemberFold member_fold_;
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
  // When this entry first missed another, by process name.
  std::map<std::string, Time> missed_since_;
  Thread upkeep_;
};

}  // namespace turmericshift
