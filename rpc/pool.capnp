# Sessions of a pool: the calls of agents and entries to the entry with the pool's planner. After a
# change, run misc/generate_rpc.sh and commit the result.
@0xd1c2a7c0f3b94e65;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("turmericshift::wire");

using Peer = import "peer.capnp";

struct PoolRun {
  job @0 :Text;
  occurrence @1 :Int32;
  step @2 :Int32;
  index @3 :Int32;
  number @4 :Int64;
}

struct PoolRunning {
  run @0 :PoolRun;
  checkpoint @1 :Text;
  percent @2 :Int32;
}

struct PoolEnded {
  number @0 :Int64;
  run @1 :PoolRun;
  kind @2 :Text;
  checkpoint @3 :Text;
}

struct PoolResult {
  run @0 :PoolRun;
  outcome @1 :Int32;
  reason @2 :Text;
}

struct PoolWorker {
  id @0 :Text;
  # Start time of this incarnation of the worker, in milliseconds since 1970.
  bornMs @1 :Int64;
  service @2 :Text;
  machine @3 :Text;
  rack @4 :Text;
  labels @5 :List(Text);
  processorMillis @6 :Int64;
  memoryMib @7 :Int64;
  accelerators @8 :Int64;
  draining @9 :Bool;
  leavesInNanos @10 :Int64;
  reachable @11 :Bool;
  # Version of the worker's software; empty from older agents and from workers that announce none.
  version @12 :Text;
}

# Which of the worker's ends a report contains.
enum ReportedEnds {
  # From older agents, which put at most 200 ends into a report and do not tell whether there are
  # more.
  unstated @0;
  all @1;
  # There are further ends, which follow once these have been acknowledged.
  some @2;
}

struct PoolReport {
  node @0 :Text;
  zone @1 :Text;
  incarnation @2 :Text;
  sequence @3 :Int64;
  epoch @4 :Int64;
  ordersSeen @5 :Int64;
  worker @6 :PoolWorker;
  leaseLeftNanos @7 :Int64;
  running @8 :List(PoolRunning);
  ended @9 :List(PoolEnded);
  results @10 :List(PoolResult);
  waitNanos @11 :Int64;
  # Fencing token under which the worker was last read.
  fence @12 :Int64;
  # How long before the report was sent `running` was read from the worker; 0 or missing means now.
  listsAgeNanos @13 :Int64;
  reportedEnds @14 :ReportedEnds;
}

struct PoolStart {
  run @0 :PoolRun;
  payload @1 :Text;
  checkpoint @2 :Text;
  ticket @3 :Text;
}

struct PoolOrders {
  epoch @0 :Int64;
  version @1 :Int64;
  leaseNanos @2 :Int64;
  startWindowNanos @3 :Int64;
  # Ends up to this number are durable in the store and need not be reported again.
  endsKept @4 :Int64;
  # Start time of the worker incarnation that `endsKept` refers to.
  workerBornMs @5 :Int64;
  starts @6 :List(PoolStart);
  stops @7 :List(PoolRun);
  plannerEpoch @8 :Int64;
  plannerAddress @9 :Text;
  # Planner lag: its next answers take this much longer.
  lateNanos @10 :Int64;
  # Fencing token for the worker incarnation of `workerBornMs`; 0 from planners that use their epoch.
  fence @11 :Int64;
}

interface PoolGate {
  exchange @0 (report :PoolReport) -> (failure :Peer.Failure, orders :PoolOrders);
  # `spec` is the job in the encoding of the store's records.
  submit @1 (id :Text, spec :Text) -> (failure :Peer.Failure);
  cancel @2 (id :Text) -> (failure :Peer.Failure);
  yield @3 (epoch :Int64, node :Text, address :Text) -> (failure :Peer.Failure);
  offer @4 () -> (failure :Peer.Failure);
  # Returns the gate of the planner of this epoch or a newer one, for callers that can't connect to
  # the planner themselves. `address` is where the planner of `epoch` is reached, for entries that
  # have not read of it yet; empty from older callers.
  planner @5 (epoch :Int64, address :Text) -> (failure :Peer.Failure, gate :PoolGate);
  # The newest planner that this process knows of; epoch 0 if it knows none.
  knownPlanner @6 () -> (epoch :Int64, node :Text, address :Text);
  # From a planner whose appends the store rejects: asks this process to claim the leadership now.
  takeOver @7 (epoch :Int64, node :Text, address :Text) -> (failure :Peer.Failure);
}
