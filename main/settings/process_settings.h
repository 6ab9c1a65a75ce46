// Settings of one process, in INI: typed, with units, every problem of a file reported in one go.
// examples/settings/ holds one file for each role.
#pragma once

#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ini.h"
#include "servers/jobs/job.h"
#include "servers/pool/mechanism.h"
#include "servers/pool/planning_capacity.h"
#include "servers/pool/pool_bounds.h"

namespace turmericshift {

// An address to listen on. Port 0 lets the system choose; the log event `listening` tells which.
struct ListenSettings {
  std::string address = "127.0.0.1";
  int port = 0;
};

struct EntrySettings {
  std::string name;
  std::string availability_zone;
  ListenSettings callers;
  ListenSettings operators;
  ListenSettings sessions;
  // What agents are told to reach this entry at, when it differs from the session address.
  std::string advertised_ip;
  std::string log_client = "http";
  std::string log_address;
  // One key a line; the first is proved with, all are accepted.
  std::string shared_keys_file;
  // Lets operators in before the first document names some.
  std::string operator_token_file;
  // Name of the environment whose log this is, such as "trial"; empty: any.
  std::string environment;
  // Environment that must have had a document in force before it is published here.
  std::string trial;
  // Key that signs and checks statements of what was in force.
  std::string promotion_key_file;
  std::string routing_policy;
  std::string placement_policy;
  int64_t max_body_bytes = int64_t{16} << 20;
  int max_connections = 1024;
  int max_sessions = 800;
  Duration idle_timeout = std::chrono::seconds(60);
  // How long a leaving entry goes on taking callers in, so that the balancer notices first: longer
  // than its health checks need.
  Duration balancer_notice = std::chrono::seconds(5);
  // How long a graceful stop may wait for what is in flight.
  Duration stop_limit = std::chrono::seconds(60);
};

struct AgentSettings {
  std::string name;
  std::string availability_zone;
  std::string rack;
  std::vector<std::string> entries;
  std::string shared_keys_file;
  // The target beside the agent; empty if there is none.
  std::string service;
  std::string target_client = "http";
  std::string target_address;
  // The worker beside the agent; an empty address if there is none.
  std::string worker_client = "http";
  std::string worker_address;
  TaskShape worker;
  int slots = 8;
  int connections = 64;
  Duration heartbeat = std::chrono::seconds(1);
  Duration heartbeat_timeout = std::chrono::seconds(3);
  // Where metrics and health are served; an empty address: nowhere.
  ListenSettings operators = {"", 0};
  std::string operator_token_file;
  Duration stop_limit = std::chrono::seconds(60);
};

// An entry of a pool on a platform that an adapter speaks to.
struct PoolEntrySettings {
  std::string name;
  std::string availability_zone;
  // Plug-ins of the adapter.
  std::string adapter;
  ListenSettings callers;
  ListenSettings readiness;
  // Agents and other entries open their sessions here.
  ListenSettings sessions;
  // Where they reach it, "ip:port", when an address translation lies between; empty: there itself.
  std::string sessions_reached_at;
  std::string store_address;
  // Where the advice service is asked; empty: there is none.
  std::string advice_address;
  // What this VM has; decides who plans the pool.
  pool::VmResources vm;
  pool::PoolBounds bounds;
  // Left out of the policy.
  pool::DisabledMechanisms mechanisms_off;
  // From the signal to stop until the process is killed.
  Duration stop_limit = std::chrono::seconds(6);
};

// An agent of a pool on such a platform.
struct PoolAgentSettings {
  std::string name;
  std::string availability_zone;
  std::string adapter;
  // Where the worker announces itself.
  ListenSettings announcements;
  std::string worker_address;
  std::string store_address;
};

// Throw Error(kInvalidInput) that lists every problem with file, line and key.
EntrySettings ParseEntrySettings(const std::string& file_name, const std::string& text);
AgentSettings ParseAgentSettings(const std::string& file_name, const std::string& text);
PoolEntrySettings ParsePoolEntrySettings(const std::string& file_name, const std::string& text);
PoolAgentSettings ParsePoolAgentSettings(const std::string& file_name, const std::string& text);

}  // namespace turmericshift
