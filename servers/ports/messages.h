// Messages between the project's own processes, as plain types. rpc/ converts them to the wire
// format.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "servers/jobs/job.h"
#include "servers/platform/worker_service.h"
#include "servers/state/record.h"

namespace turmericshift {

// Identifies an agent and describes the worker and the target that run beside it.
struct AgentHello {
  // Name of the worker or target from the settings. Survives restarts.
  std::string process;
  // A new id at each start of the process. Claims name it, so that a restarted agent can be told
  // from its previous incarnation.
  std::string incarnation;
  std::string zone;
  std::string rack;
  // The service that the target beside the agent offers. Empty if there is no target.
  std::string service;
  // Capacity of the worker beside the agent. Zero processors if there is no worker.
  TaskShape worker;
};

struct ServiceRequest {
  // Chosen by the entry; the answer carries the same id.
  std::string request_id;
  std::string workspace;
  std::string service;
  std::string path;
  std::string content_type;
  std::string body;
  // Digest(body), computed when the caller's body was read.
  std::string body_digest;
  // Time left until the caller's deadline when the request was sent.
  Duration time_left{};
  // Key, attempt and fencing token of the request's claim. Set only for a request that must not run
  // more than once.
  std::string idempotency_key;
  int attempt = 0;
  Sequence fence = kNoSequence;
  // Incarnation of the agent that the request is sent to; any other incarnation refuses it.
  std::string incarnation;
};

// Returns the id under which an attempt of a request without an idempotency key is sent. Each
// attempt needs its own id, because an agent that has refused an id refuses it from then on.
std::string AttemptRequestId(const std::string& request_id, int attempt);
// Returns the caller's request id from the id of one of its attempts.
std::string CallerRequestId(const std::string& attempt_request_id);

// Number of requests that a target runs and queues, and how many it can run at a time.
struct TargetLoad {
  int running = 0;
  int queued = 0;
  int slots = 0;
};

struct ServiceAnswer {
  std::string request_id;
  int status = 0;
  std::string content_type;
  std::string body;
  std::string body_digest;
  TargetLoad load;
};

// Asks an agent whether an attempt of a request has run. The attempt is identified by its
// idempotency key if it has one, otherwise by its request id.
struct RequestStatusQuery {
  std::string workspace;
  std::string idempotency_key;
  int attempt = 0;
  Sequence fence = kNoSequence;
  std::string request_id;
  // Incarnation of the agent that the request was sent to.
  std::string incarnation;
  // Time since the request was sent. An agent that has discarded its oldest requests needs it to
  // tell whether this request may be one of them.
  Duration age{};
};

enum class RequestRunState {
  // The agent has not run this attempt and never will.
  kNeverWillRun,
  kRunning,
  kRan,
  // The attempt may have run; the agent can't tell.
  kUnknown,
};
const char* RequestRunStateName(RequestRunState state);

struct RequestStatusReply {
  RequestRunState state = RequestRunState::kUnknown;
  // Set only for kRan. Its status is 0 if the agent no longer stores the answer.
  ServiceAnswer answer;
};

// A task of a gang and the accelerators that it gets on the agent's worker.
struct TaskPlacement {
  int task = 0;
  // Bit mask of the worker's accelerators.
  uint32_t accelerators = 0;
};

// Asks an agent to reserve room for its part of a gang, under a planner's epoch.
struct GangReserve {
  Sequence epoch = kNoSequence;
  std::string job;
  std::string workspace;
  int64_t attempt = 0;
  TaskShape shape;
  std::vector<TaskPlacement> tasks;
  // The reservation expires unless the gang is started within this time.
  Duration hold_timeout = std::chrono::seconds(3);
  bool checkpoints = false;
  // The workspace's guarantee covers the room, so it can't be reclaimed for another workspace.
  bool guaranteed = false;
};

struct GangStart {
  Sequence epoch = kNoSequence;
  std::string job;
  int64_t attempt = 0;
  std::string payload;
  std::string checkpoint;
};

// Identifies an attempt of a gang, for Release, Renew, Stop and Forget.
struct GangAction {
  Sequence epoch = kNoSequence;
  std::string job;
  int64_t attempt = 0;
  // For Release and Renew: the gang's tasks stop if the lease is not renewed within this time.
  Duration lease = std::chrono::seconds(10);
  // For Stop: write a checkpoint first.
  bool checkpoint = false;
  // AgentHeartbeat::sent_at of the heartbeat that caused this action. A renewed lease runs from
  // that time, so that a delayed renewal can't outlast the expiry that the planner computed. If
  // negative, the lease runs from the arrival of the action.
  int64_t heartbeat_sent_at = -1;
};

// Name and address of an entry.
struct EntryMember {
  std::string process;
  std::string zone;
  // "IP:port".
  std::string address;
};

// The last state that an agent received from one of its entries. Agents pass it on, so that entries
// learn of each other while the log is down.
struct ObservedEntry {
  EntryMember entry;
  int64_t config_version = 0;
  // Time since the agent sent the heartbeat that the entry last replied to.
  Duration age{};
};

struct AgentHeartbeat {
  TargetLoad load;
  int64_t config_version = 0;
  bool leaving = false;
  std::vector<TaskReport> tasks;
  // Highest planner epoch that this agent has received. `tasks` were read after that, so they
  // include every task that was started here under a lower epoch.
  Sequence planner_epoch = kNoSequence;
  // The agent's entries. Set only in some heartbeats, to save traffic.
  std::vector<ObservedEntry> observed;
  // DigestMembers of the entries that this agent knows, so that entries don't send an unchanged
  // list again.
  int64_t members_digest = 0;
  // Time since the agent last heard from the zone's active planner. Negative if it never did.
  Duration planner_silence{-1};
  // Send time on this agent's own clock, for GangAction::heartbeat_sent_at. Other processes can't
  // interpret it.
  int64_t sent_at = -1;
  // Age of `tasks`. Grows while the worker does not answer.
  Duration report_age{};
};

// How current an entry's view of a log stream is.
struct LogFreshness {
  // Time since the entry last read the stream up to its head. Negative if it never did.
  Duration age{-1};
  // The entry can't read the log at present.
  bool failing = false;
};

struct HeartbeatReply {
  int64_t config_version = 0;
  // The document. Empty unless its version is newer than the agent's.
  std::string config_text;
  // How current the entry's view of the config stream is.
  LogFreshness freshness;
  // Addresses of the known entries. Not sent: the agent derives them from `members`.
  std::vector<std::string> entries;
  // Address of the entry with the active planner of the agent's zone. Empty if unknown.
  std::string planner_address;
  // The entry that replies.
  EntryMember self;
  // Environment of the config stream, such as "trial". Empty before the first document.
  std::string environment;
  // Digest of the document of `config_version`.
  std::string config_digest;
  // All entries that this entry knows. Empty if the agent knows the same ones.
  std::vector<EntryMember> members;
  // Highest planner epoch of the agent's zone in this entry's replicated jobs.
  Sequence planner_epoch = kNoSequence;
  // `planner_epoch` belongs to this entry, and its planner is active.
  bool planner_active = false;
  // How current this entry's view of the jobs stream is.
  LogFreshness jobs_freshness;
};

// Returns a digest of the members that does not depend on their order.
int64_t DigestMembers(const std::vector<EntryMember>& members);

}  // namespace turmericshift
