// Typed settings of one process, read from an INI file. All problems of a file are reported in one
// error. examples/settings/ holds an example for an entry and for an agent.
#pragma once

#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ini.h"
#include "servers/jobs/job.h"
#include "servers/membership/planning_capacity.h"
#include "servers/pool/mechanism.h"
#include "servers/pool/pool_bounds.h"

namespace turmericshift {

// An address to listen on. With port 0 the operating system chooses the port, which the process
// logs once it listens.
struct ListenSettings {
  std::string address = "127.0.0.1";
  int port = 0;
};

// Memory that the VM of a pool's process is taken to have if its settings do not tell.
inline constexpr size_t kDefaultVmMemoryBytes = size_t{128} << 20;

struct EntrySettings {
  std::string name;
  std::string availability_zone;
  ListenSettings callers;
  ListenSettings operators;
  ListenSettings sessions;
  // IP address that agents use to reach this entry; empty if it is the session address.
  std::string advertised_ip;
  std::string log_client = "http";
  std::string log_address;
  // File with one shared key per line. The first key signs this process's own proofs; proofs made
  // with any of the keys are accepted.
  std::string shared_keys_file;
  // File with a token that operators can use before the first environment document is in force.
  std::string operator_token_file;
  // Name of the environment that the log belongs to, such as "trial"; empty accepts documents of
  // any environment.
  std::string environment;
  // Name of the environment in which a document must have been in force before it may be published
  // here; empty requires none.
  std::string trial;
  // File with the key that signs and verifies statements that a document was in force.
  std::string promotion_key_file;
  std::string routing_policy;
  std::string placement_policy;
  int64_t max_body_bytes = int64_t{16} << 20;
  int max_connections = 1024;
  int max_sessions = 800;
  Duration idle_timeout = std::chrono::seconds(60);
  // How long an entry that shuts down still accepts callers after it reports that it is not ready.
  // Must be longer than the load balancer's health checks need to notice.
  Duration balancer_notice = std::chrono::seconds(5);
  // How long a graceful shutdown may wait for requests in flight.
  Duration stop_limit = std::chrono::seconds(60);
};

struct AgentSettings {
  std::string name;
  std::string availability_zone;
  std::string rack;
  std::vector<std::string> entries;
  std::string shared_keys_file;
  // Service of the target that the agent serves; empty if the agent has no target.
  std::string service;
  std::string target_client = "http";
  std::string target_address;
  // The worker that the agent serves; the address is empty if the agent has no worker.
  std::string worker_client = "http";
  std::string worker_address;
  TaskShape worker;
  int slots = 8;
  int connections = 64;
  Duration heartbeat = std::chrono::seconds(1);
  Duration heartbeat_timeout = std::chrono::seconds(3);
  // Address that metrics and health are served on; an empty address disables the operator API.
  ListenSettings operators = {"", 0};
  std::string operator_token_file;
  Duration stop_limit = std::chrono::seconds(60);
};

// Settings of an entry of a pool on a platform reached through an adapter.
struct PoolEntrySettings {
  std::string name;
  std::string availability_zone;
  // Registered name of the plug-ins that translate between this system and the users' platform.
  std::string adapter;
  ListenSettings callers;
  ListenSettings readiness;
  // Address on which agents and other entries open sessions.
  ListenSettings sessions;
  // Address under which agents and other entries reach `sessions`, as "ip:port", if address
  // translation lies between them; empty if it is the listen address.
  std::string sessions_reached_at;
  std::string store_address;
  // Address of the advice service; empty if there is none.
  std::string advice_address;
  // Resources of this VM; the election of the pool's planner compares them.
  membership::VmResources vm;
  size_t vm_memory_bytes = kDefaultVmMemoryBytes;
  pool::PoolBounds bounds;
  // Longest body of a call that is read. The operators' document may set a lower limit for jobs.
  size_t max_body_bytes = size_t{1} << 20;
  // Mechanisms of the planning policy that are switched off.
  pool::DisabledMechanisms mechanisms_off;
  // Time between the stop signal and the platform's kill of the process.
  Duration stop_limit = std::chrono::seconds(6);
};

// Settings of an agent of a pool on a platform reached through an adapter.
struct PoolAgentSettings {
  std::string name;
  std::string availability_zone;
  std::string adapter;
  // Address on which the agent receives the worker's announcements.
  ListenSettings announcements;
  std::string worker_address;
  std::string store_address;
  // Longest lease that the worker grants.
  Duration longest_lease = pool::PoolBounds().longest_lease;
  size_t vm_memory_bytes = kDefaultVmMemoryBytes;
  // Longest body of an announcement that is read.
  size_t max_body_bytes = size_t{4} << 20;
};

// Parse the settings file of a role. Throw Error(kInvalidInput) that lists every problem with file,
// line and key.
EntrySettings ParseEntrySettings(const std::string& file_name, const std::string& text);
AgentSettings ParseAgentSettings(const std::string& file_name, const std::string& text);
PoolEntrySettings ParsePoolEntrySettings(const std::string& file_name, const std::string& text);
PoolAgentSettings ParsePoolAgentSettings(const std::string& file_name, const std::string& text);

}  // namespace turmericshift
