# Sessions between entries and agents. After a change, run misc/generate_rpc.sh and commit the
# result.
@0x9e9ada8045f49967;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("turmericshift::wire");

struct Shape {
  processors @0 :Int32;
  memoryBytes @1 :Int64;
  accelerators @2 :Int32;
}

struct AgentHello {
  process @0 :Text;
  incarnation @1 :Text;
  zone @2 :Text;
  rack @3 :Text;
  service @4 :Text;
  worker @5 :Shape;
}

# How a call failed. `kind` is empty if the call succeeded.
struct Failure {
  kind @0 :Text;
  outcome @1 :Text;
  message @2 :Text;
  # Time after which the request may be repeated; 0 or missing: not given.
  retryAfterNanos @3 :Int64;
}

struct ServiceRequest {
  requestId @0 :Text;
  workspace @1 :Text;
  service @2 :Text;
  path @3 :Text;
  contentType @4 :Text;
  body @5 :Data;
  bodyDigest @6 :Text;
  timeLeftNanos @7 :Int64;
  idempotencyKey @8 :Text;
  attempt @9 :Int32;
  fence @10 :Int64;
  incarnation @11 :Text;
}

struct TargetLoad {
  running @0 :Int32;
  queued @1 :Int32;
  slots @2 :Int32;
}

struct ServiceAnswer {
  requestId @0 :Text;
  status @1 :Int32;
  contentType @2 :Text;
  body @3 :Data;
  bodyDigest @4 :Text;
  load @5 :TargetLoad;
}

# RequestStatusQuery in servers/ports/messages.h.
struct SeenQuestion {
  workspace @0 :Text;
  idempotencyKey @1 :Text;
  attempt @2 :Int32;
  fence @3 :Int64;
  requestId @4 :Text;
  incarnation @5 :Text;
  ageNanos @6 :Int64;
}

# RequestStatusReply in servers/ports/messages.h.
struct SeenAnswer {
  # A RequestRunState, by its position in the enum.
  state @0 :UInt16;
  answer @1 :ServiceAnswer;
}

struct TaskPlacement {
  task @0 :Int32;
  accelerators @1 :UInt32;
}

struct GangReserve {
  epoch @0 :Int64;
  job @1 :Text;
  workspace @2 :Text;
  attempt @3 :Int64;
  shape @4 :Shape;
  tasks @5 :List(TaskPlacement);
  # The reservation expires unless the gang is started within this time.
  holdNanos @6 :Int64;
  checkpoints @7 :Bool;
  guaranteed @8 :Bool;
}

struct GangStart {
  epoch @0 :Int64;
  job @1 :Text;
  attempt @2 :Int64;
  payload @3 :Text;
  checkpoint @4 :Text;
}

struct GangAction {
  epoch @0 :Int64;
  job @1 :Text;
  attempt @2 :Int64;
  leaseNanos @3 :Int64;
  checkpoint @4 :Bool;
  # AgentHeartbeat::sent_at of the heartbeat that caused this action; negative if none.
  beatSentAt @5 :Int64 = -1;
}

struct TaskReport {
  job @0 :Text;
  attempt @1 :Int64;
  task @2 :Int32;
  # A TaskPhase, by its position in the enum.
  phase @3 :UInt16;
  accelerators @4 :UInt32;
  shape @5 :Shape;
  progress @6 :Float64;
  checkpoint @7 :Text;
  epoch @8 :Int64 = -1;
  workspace @9 :Text;
  guaranteed @10 :Bool;
  checkpoints @11 :Bool;
  leaseLeftNanos @12 :Int64;
}

struct EntryMember {
  process @0 :Text;
  zone @1 :Text;
  address @2 :Text;
}

# ObservedEntry in servers/ports/messages.h.
struct HeardEntry {
  entry @0 :EntryMember;
  configVersion @1 :Int64;
  ageNanos @2 :Int64;
}

# AgentHeartbeat in servers/ports/messages.h.
struct AgentBeat {
  load @0 :TargetLoad;
  configVersion @1 :Int64;
  leaving @2 :Bool;
  tasks @3 :List(TaskReport);
  plannerEpoch @4 :Int64;
  plannerSilenceNanos @5 :Int64 = -1;
  sentAt @6 :Int64 = -1;
  reportAgeNanos @7 :Int64;
  heard @8 :List(HeardEntry);
  membersDigest @9 :Int64;
}

# HeartbeatReply in servers/ports/messages.h.
struct EntryBeat {
  configVersion @0 :Int64;
  configText @1 :Text;
  freshnessAgeNanos @2 :Int64;
  logFailing @3 :Bool;
  entries @4 :List(Text);
  plannerAddress @5 :Text;
  plannerEpoch @6 :Int64 = -1;
  plannerActive @7 :Bool;
  jobsAgeNanos @8 :Int64 = -1;
  jobsFailing @9 :Bool;
  self @10 :EntryMember;
  environment @11 :Text;
  configDigest @12 :Text;
  members @13 :List(EntryMember);
}

# The calls of an entry to an agent.
interface Agent {
  serve @0 (request :ServiceRequest) -> (answer :ServiceAnswer, failure :Failure);
  cancel @1 (requestId :Text) -> ();
  resolve @2 (question :SeenQuestion) -> (answer :SeenAnswer, failure :Failure);
  reserve @3 (reserve :GangReserve) -> (failure :Failure);
  start @4 (start :GangStart) -> (failure :Failure);
  release @5 (action :GangAction) -> (failure :Failure);
  renew @6 (action :GangAction) -> (failure :Failure);
  stop @7 (action :GangAction) -> (failure :Failure);
  forget @8 (action :GangAction) -> (failure :Failure);
}

# The calls of an agent to an entry, after its admission.
interface EntrySession {
  heartbeat @0 (beat :AgentBeat) -> (beat :EntryBeat, failure :Failure);
}

# The handshake at the start of every connection. Both sides prove that they know the shared key.
interface Gate {
  challenge @0 (nonce :Text) -> (nonce :Text, proof :Text);
  openAgent @1 (proof :Text, hello :AgentHello, agent :Agent)
      -> (session :EntrySession, failure :Failure);
}
