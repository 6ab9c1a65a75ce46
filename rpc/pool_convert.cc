#include "rpc/pool_convert.h"

#include "core/error.h"
#include "rpc/text.h"

namespace turmericshift {
namespace {

void Write(const pool::RunId& from, wire::PoolRun::Builder to) {
  to.setJob(AsText(from.task.job));
  to.setOccurrence(from.task.occurrence);
  to.setStep(from.task.step);
  to.setIndex(from.task.index);
  to.setNumber(from.number);
}

pool::RunId Read(wire::PoolRun::Reader from) {
  return {{Text(from.getJob()), from.getOccurrence(), from.getStep(), from.getIndex()},
          from.getNumber()};
}

void Write(const pool::WorkerFacts& from, wire::PoolWorker::Builder to) {
  to.setId(AsText(from.id));
  to.setBornMs(from.start_time_ms);
  to.setService(AsText(from.service));
  to.setMachine(AsText(from.machine));
  to.setRack(AsText(from.rack));
  auto labels = to.initLabels(static_cast<unsigned>(from.labels.size()));
  for (unsigned i = 0; i < from.labels.size(); ++i) labels.set(i, AsText(from.labels[i]));
  to.setProcessorMillis(from.capacity.processor_millis);
  to.setMemoryMib(from.capacity.memory_mib);
  to.setAccelerators(from.capacity.accelerators);
  to.setDraining(from.draining);
  to.setLeavesInNanos(from.leaves_in.count());
  to.setReachable(from.reachable);
  to.setVersion(AsText(from.version));
}

pool::WorkerFacts Read(wire::PoolWorker::Reader from) {
  pool::WorkerFacts facts;
  facts.id = Text(from.getId());
  facts.start_time_ms = from.getBornMs();
  facts.service = Text(from.getService());
  facts.machine = Text(from.getMachine());
  facts.rack = Text(from.getRack());
  for (const auto label : from.getLabels()) facts.labels.push_back(Text(label));
  facts.capacity = {from.getProcessorMillis(), from.getMemoryMib(), from.getAccelerators()};
  facts.draining = from.getDraining();
  facts.leaves_in = Duration(from.getLeavesInNanos());
  facts.reachable = from.getReachable();
  facts.version = Text(from.getVersion());
  return facts;
}

// Older agents put at most this many ends into a report.
constexpr unsigned kMaxUnstatedEnds = 200;

bool HasMoreEnds(wire::PoolReport::Reader report) {
  switch (report.getReportedEnds()) {
    case wire::ReportedEnds::ALL:
      return false;
    case wire::ReportedEnds::SOME:
      return true;
    case wire::ReportedEnds::UNSTATED:
      break;
  }
  return report.getEnded().size() >= kMaxUnstatedEnds;
}

pool::StartOutcome StartOutcomeFromNumber(int number) {
  switch (number) {
    case static_cast<int>(pool::StartOutcome::kStarted):
      return pool::StartOutcome::kStarted;
    case static_cast<int>(pool::StartOutcome::kRefused):
      return pool::StartOutcome::kRefused;
    case static_cast<int>(pool::StartOutcome::kNotRun):
      return pool::StartOutcome::kNotRun;
    case static_cast<int>(pool::StartOutcome::kTicketRefused):
      return pool::StartOutcome::kTicketRefused;
    default:
      throw Error(ErrorKind::kInvalidInput, "unknown number of a start outcome");
  }
}

template <typename List>
unsigned Count(const List& list) {
  return static_cast<unsigned>(list.size());
}

}  // namespace

void Write(const pool::AgentReport& from, wire::PoolReport::Builder to) {
  to.setNode(AsText(from.node));
  to.setZone(AsText(from.zone));
  to.setIncarnation(AsText(from.incarnation));
  to.setSequence(from.sequence);
  to.setEpoch(from.epoch);
  to.setOrdersSeen(from.orders_seen);
  Write(from.worker, to.initWorker());
  to.setLeaseLeftNanos(from.lease_left.count());
  auto running = to.initRunning(Count(from.running));
  for (unsigned i = 0; i < from.running.size(); ++i) {
    Write(from.running[i].run, running[i].initRun());
    running[i].setCheckpoint(AsText(from.running[i].checkpoint));
    running[i].setPercent(from.running[i].percent);
  }
  auto ended = to.initEnded(Count(from.ended));
  for (unsigned i = 0; i < from.ended.size(); ++i) {
    ended[i].setNumber(from.ended[i].number);
    Write(from.ended[i].run, ended[i].initRun());
    ended[i].setKind(pool::EndKindName(from.ended[i].kind));
    ended[i].setCheckpoint(AsText(from.ended[i].checkpoint));
  }
  auto results = to.initResults(Count(from.results));
  for (unsigned i = 0; i < from.results.size(); ++i) {
    Write(from.results[i].run, results[i].initRun());
    results[i].setOutcome(static_cast<int>(from.results[i].outcome));
    results[i].setReason(AsText(from.results[i].reason));
  }
  to.setWaitNanos(from.wait.count());
  to.setFence(from.fence);
  to.setListsAgeNanos(from.lists_age.count());
  to.setReportedEnds(from.more_ends ? wire::ReportedEnds::SOME : wire::ReportedEnds::ALL);
}

pool::AgentReport Read(wire::PoolReport::Reader from) {
  pool::AgentReport report;
  report.node = Text(from.getNode());
  report.zone = Text(from.getZone());
  report.incarnation = Text(from.getIncarnation());
  report.sequence = from.getSequence();
  report.epoch = from.getEpoch();
  report.orders_seen = from.getOrdersSeen();
  report.worker = Read(from.getWorker());
  report.lease_left = Duration(from.getLeaseLeftNanos());
  for (const auto running : from.getRunning()) {
    report.running.push_back(
        {Read(running.getRun()), Text(running.getCheckpoint()), running.getPercent()});
  }
  for (const auto ended : from.getEnded()) {
    report.ended.push_back({ended.getNumber(), Read(ended.getRun()),
                            pool::EndKindFromName(Text(ended.getKind())),
                            Text(ended.getCheckpoint())});
  }
  for (const auto result : from.getResults()) {
    report.results.push_back({Read(result.getRun()), StartOutcomeFromNumber(result.getOutcome()),
                              Text(result.getReason())});
  }
  report.wait = Duration(from.getWaitNanos());
  report.fence = from.getFence();
  report.lists_age = Duration(from.getListsAgeNanos());
  report.more_ends = HasMoreEnds(from);
  return report;
}

void Write(const pool::AgentOrders& from, wire::PoolOrders::Builder to) {
  to.setEpoch(from.epoch);
  to.setVersion(from.version);
  to.setLeaseNanos(from.lease.count());
  to.setStartWindowNanos(from.start_window.count());
  to.setLateNanos(from.lag.count());
  to.setEndsKept(from.acked_ends);
  to.setWorkerBornMs(from.worker_start_time_ms);
  to.setFence(from.fence);
  auto starts = to.initStarts(Count(from.starts));
  for (unsigned i = 0; i < from.starts.size(); ++i) {
    Write(from.starts[i].run, starts[i].initRun());
    starts[i].setPayload(AsText(from.starts[i].payload));
    starts[i].setCheckpoint(AsText(from.starts[i].checkpoint));
    starts[i].setTicket(AsText(from.starts[i].ticket));
  }
  to.setPlannerEpoch(from.planner_epoch);
  to.setPlannerAddress(AsText(from.planner_address));
  auto stops = to.initStops(Count(from.stops));
  for (unsigned i = 0; i < from.stops.size(); ++i) Write(from.stops[i], stops[i]);
}

pool::AgentOrders Read(wire::PoolOrders::Reader from) {
  pool::AgentOrders orders;
  orders.epoch = from.getEpoch();
  orders.version = from.getVersion();
  orders.lease = Duration(from.getLeaseNanos());
  orders.start_window = Duration(from.getStartWindowNanos());
  orders.lag = Duration(from.getLateNanos());
  orders.acked_ends = from.getEndsKept();
  orders.worker_start_time_ms = from.getWorkerBornMs();
  orders.fence = from.getFence();
  for (const auto start : from.getStarts()) {
    orders.starts.push_back({Read(start.getRun()), Text(start.getPayload()),
                             Text(start.getCheckpoint()), Text(start.getTicket())});
  }
  for (const auto stop : from.getStops()) orders.stops.push_back(Read(stop));
  orders.planner_epoch = from.getPlannerEpoch();
  orders.planner_address = Text(from.getPlannerAddress());
  return orders;
}

}  // namespace turmericshift
