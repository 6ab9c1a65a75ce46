// What the project's own processes say to each other, as plain types. rpc/ carries them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "servers/jobs/job.h"
#include "servers/platform/worker_service.h"
#include "servers/state/record.h"

namespace turmericshift {

// Who an agent is and what stands beside it.
struct AgentHello {
  // Stable name of the worker or target, from the settings.
  std::string process;
  // New at each start of the process; a claim names it, so a restarted agent is told apart.
  std::string incarnation;
  std::string zone;
  std::string rack;
  // The service that the target beside it offers; empty if none.
  std::string service;
  // What the worker beside it has; no processors if there is no worker.
  TaskShape worker;
};

struct ServiceRequest {
  // Chosen by the entry; the answer carries it back.
  std::string request_id;
  std::string workspace;
  std::string service;
  std::string path;
  std::string content_type;
  std::string body;
  // Digest(body) as computed when the caller's body was read.
  std::string body_digest;
  // Time left until the caller's deadline, at the moment of sending.
  Duration time_left{};
  // Set for a request that may not be repeated: key, attempt and fence of its claim.
  std::string idempotency_key;
  int attempt = 0;
  Sequence fence = kNoSequence;
  // The agent's incarnation that it is meant for; any other refuses it.
  std::string incarnation;
};

// The id of one sending of the caller's request: agents refuse for good an id that they refused
// once, so each sending of a request without a key has its own.
std::string AttemptRequestId(const std::string& request_id, int sending);
// The id that the caller was told, from a sending's.
std::string CallerRequestId(const std::string& sending_id);

// How busy a target is.
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

// Asks an agent what became of one attempt: by its key where it has one, else by its request id.
struct RequestStatusQuery {
  std::string workspace;
  std::string idempotency_key;
  int attempt = 0;
  Sequence fence = kNoSequence;
  std::string request_id;
  // The agent's incarnation that the request was sent to.
  std::string incarnation;
  // Time since the request was sent, for an agent that has forgotten its oldest requests.
  Duration age{};
};

enum class RequestRunState {
  // The agent has not seen it and from now on never runs this attempt.
  kNeverWillRun,
  kRunning,
  kRan,
  // It may have run; nobody can tell.
  kUnknown,
};
const char* RequestRunStateName(RequestRunState state);

struct RequestStatusReply {
  RequestRunState state = RequestRunState::kUnknown;
  // Set for kRan; status 0 when the answer is no longer kept.
  ServiceAnswer answer;
};

// One task of a gang on one worker.
struct TaskPlacement {
  int task = 0;
  uint32_t accelerators = 0;
};

// The part of a gang that one agent is to hold, under a planner's epoch.
struct GangReserve {
  Sequence epoch = kNoSequence;
  std::string job;
  std::string workspace;
  int64_t attempt = 0;
  TaskShape shape;
  std::vector<TaskPlacement> tasks;
  // The reservation lapses by itself unless started within this time.
  Duration hold_timeout = std::chrono::seconds(3);
  bool checkpoints = false;
  // The workspace's guarantee covers it, so it can't be reclaimed for another.
  bool guaranteed = false;
};

struct GangStart {
  Sequence epoch = kNoSequence;
  std::string job;
  int64_t attempt = 0;
  std::string payload;
  std::string checkpoint;
};

// Names one attempt, for release, renewal and stop.
struct GangAction {
  Sequence epoch = kNoSequence;
  std::string job;
  int64_t attempt = 0;
  // For release and renewal: all members stop when this passes without another renewal.
  Duration lease = std::chrono::seconds(10);
  // For stop: save the work first.
  bool checkpoint = false;
  // AgentHeartbeat::sent_at of the agent's beat that moved the planner to this. A renewal counts
  // its lease from there, so that one which arrives late can't outlive the planner's own reckoning.
  // Negative: counted from the arrival.
  int64_t heartbeat_sent_at = -1;
};

// An entry as others reach it.
struct EntryMember {
  std::string process;
  std::string zone;
  // "IP:port".
  std::string address;
};

// What an agent last heard from one of its entries; carries word of entries from one to another
// while the log is down.
struct ObservedEntry {
  EntryMember entry;
  int64_t config_version = 0;
  // Since the heartbeat that the entry answered was sent.
  Duration age{};
};

struct AgentHeartbeat {
  TargetLoad load;
  int64_t config_version = 0;
  bool leaving = false;
  std::vector<TaskReport> tasks;
  // Highest planner epoch this agent has heard of. `tasks` were read after it, so they hold all
  // that was ever started here under a lower one.
  Sequence planner_epoch = kNoSequence;
  // Sent with some of the heartbeats only, to spare bytes.
  std::vector<ObservedEntry> observed;
  // DigestMembers of the entries this agent knows, so that an unchanged list is not sent again.
  int64_t members_digest = 0;
  // How long ago the zone's planner was last heard; negative: never.
  Duration planner_silence{-1};
  // This agent's own clock, for GangAction::heartbeat_sent_at. Means nothing to any other process.
  int64_t sent_at = -1;
  // How old `tasks` is; rises while the worker does not answer.
  Duration report_age{};
};

// What an entry knows about the log, passed on to agents.
struct LogFreshness {
  // Age of the newest read to the head of the config stream; negative: never.
  Duration age{-1};
  // The entry itself can't read the log at present.
  bool failing = false;
};

struct HeartbeatReply {
  int64_t config_version = 0;
  // The document, only when newer than the agent's.
  std::string config_text;
  LogFreshness freshness;
  // Addresses of the entries known; the agent fills it from `members`, so that it is not sent.
  std::vector<std::string> entries;
  // The entry that holds the planner duty of the agent's zone, "" if unknown.
  std::string planner_address;
  // Who answers.
  EntryMember self;
  // Environment of the config stream, such as "trial"; "" before the first document.
  std::string environment;
  // Digest of the document of `config_version`.
  std::string config_digest;
  // All entries known here; empty when the agent knows the same ones.
  std::vector<EntryMember> members;
  // Highest planner epoch of the agent's zone in this entry's fold of the jobs stream.
  Sequence planner_epoch = kNoSequence;
  // This entry holds that epoch and its planner is at work.
  bool planner_active = false;
  // How current that fold is.
  LogFreshness jobs_freshness;
};

// Equal for equal lists of members, in any order.
int64_t DigestMembers(const std::vector<EntryMember>& members);

}  // namespace turmericshift
