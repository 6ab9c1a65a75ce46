// A complete system in one process on loopback: log, entries, agents, workers and targets. Used by
// the commands `dev` and `demo` and by benchmarks.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "core/metrics.h"
#include "modules/stand_ins/fake_target.h"
#include "modules/stand_ins/fake_worker.h"
#include "modules/stand_ins/log_server.h"
#include "modules/stand_ins/memory_log.h"
#include "rpc/gate_listener.h"
#include "rpc/rpc_entry_connector.h"
#include "servers/agent/agent_server.h"
#include "servers/entry/entry_server.h"

namespace turmericshift {

inline constexpr const char* kDefaultDevDocument = "examples/potkocsi/environment.ini";

struct DevOptions {
  // Environment document that defines the availability zones, their workers and racks, and the
  // services.
  std::string environment_text;
  std::string operator_token;
  std::string placement_policy = "cells";
  std::string routing_policy = "two_choices";
  bool eject_outliers = true;
  // Whether entries reach the log over HTTP; otherwise they call the log object directly.
  bool log_over_http = true;
};

struct DevEntry {
  std::string name;
  std::string zone;
  std::unique_ptr<LogService> log;
  std::unique_ptr<EntryServer> server;
  std::unique_ptr<GateListener> gate;
};

struct DevAgent {
  std::string name;
  std::string zone;
  std::unique_ptr<FakeWorker> worker;
  std::unique_ptr<FakeTarget> target;
  std::unique_ptr<TargetService> target_client;
  std::unique_ptr<RpcEntryConnector> connector;
  std::unique_ptr<AgentServer> server;
};

class DevCluster {
 public:
  // Starts one entry for each availability zone and one agent for each worker of the document.
  explicit DevCluster(const DevOptions& options);
  ~DevCluster();
  DevCluster(const DevCluster&) = delete;
  DevCluster& operator=(const DevCluster&) = delete;

  // StopEntry ends the entry without a graceful shutdown, as if its VM had failed; StartEntry
  // starts it again.
  void StopEntry(size_t index);
  void StartEntry(size_t index);
  void StopAgent(size_t index);
  void StartAgent(size_t index);

  MemoryLog& log() { return log_; }
  std::vector<DevEntry>& entries() { return entries_; }
  std::vector<DevAgent>& agents() { return agents_; }
  MetricsRegistry& metrics() { return metrics_; }
  size_t entry_count() const { return entries_.size(); }

  // Base URL of an entry's caller or operator API, "http://127.0.0.1:port".
  std::string CallerUrl(size_t entry) const;
  std::string OperatorUrl(size_t entry) const;

 private:
  std::vector<std::string> EntryAddresses() const;

  const DevOptions options_;
  const Environment environment_;
  const SharedKeys keys_;
  MetricsRegistry metrics_;
  MemoryLog log_;
  std::unique_ptr<LogServer> log_server_;
  std::vector<DevEntry> entries_;
  std::vector<DevAgent> agents_;
};

}  // namespace turmericshift
