#include "rpc/convert.h"

#include <kj/array.h>

#include "rpc/text.h"

namespace turmericshift {
namespace {

std::string Bytes(capnp::Data::Reader reader) {
  return {reinterpret_cast<const char*>(reader.begin()), reader.size()};
}

kj::ArrayPtr<const kj::byte> AsData(const std::string& bytes) {
  return kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size());
}

void Write(const TaskShape& from, wire::Shape::Builder to) {
  to.setProcessors(from.processors);
  to.setMemoryBytes(from.memory_bytes);
  to.setAccelerators(from.accelerators);
}

TaskShape Read(wire::Shape::Reader from) {
  return {from.getProcessors(), from.getMemoryBytes(), from.getAccelerators()};
}

void Write(const TargetLoad& from, wire::TargetLoad::Builder to) {
  to.setRunning(from.running);
  to.setQueued(from.queued);
  to.setSlots(from.slots);
}

TargetLoad Read(wire::TargetLoad::Reader from) {
  return {from.getRunning(), from.getQueued(), from.getSlots()};
}

void Write(const TaskReport& from, wire::TaskReport::Builder to) {
  to.setJob(AsText(from.id.job));
  to.setAttempt(from.id.attempt);
  to.setTask(from.id.task);
  to.setPhase(static_cast<uint16_t>(from.phase));
  to.setAccelerators(from.accelerators);
  Write(from.shape, to.initShape());
  to.setProgress(from.progress);
  to.setCheckpoint(AsText(from.checkpoint));
  to.setEpoch(from.epoch);
  to.setWorkspace(AsText(from.workspace));
  to.setGuaranteed(from.guaranteed);
  to.setCheckpoints(from.checkpoints);
  to.setLeaseLeftNanos(from.lease_left.count());
}

TaskReport Read(wire::TaskReport::Reader from) {
  TaskReport report;
  report.id = {Text(from.getJob()), from.getAttempt(), from.getTask()};
  if (from.getPhase() > static_cast<uint16_t>(TaskPhase::kStopped)) {
    throw Error(ErrorKind::kInvalidInput, "unknown number of a task phase");
  }
  report.phase = static_cast<TaskPhase>(from.getPhase());
  report.accelerators = from.getAccelerators();
  report.shape = Read(from.getShape());
  report.progress = from.getProgress();
  report.checkpoint = Text(from.getCheckpoint());
  report.epoch = from.getEpoch();
  report.workspace = Text(from.getWorkspace());
  report.guaranteed = from.getGuaranteed();
  report.checkpoints = from.getCheckpoints();
  report.lease_left = Duration(from.getLeaseLeftNanos());
  return report;
}

}  // namespace

void Write(const AgentHello& from, wire::AgentHello::Builder to) {
  to.setProcess(AsText(from.process));
  to.setIncarnation(AsText(from.incarnation));
  to.setZone(AsText(from.zone));
  to.setRack(AsText(from.rack));
  to.setService(AsText(from.service));
  Write(from.worker, to.initWorker());
}

AgentHello Read(wire::AgentHello::Reader from) {
  return {Text(from.getProcess()), Text(from.getIncarnation()), Text(from.getZone()),
          Text(from.getRack()),    Text(from.getService()),     Read(from.getWorker())};
}

void Write(const ServiceRequest& from, wire::ServiceRequest::Builder to) {
  to.setRequestId(AsText(from.request_id));
  to.setWorkspace(AsText(from.workspace));
  to.setService(AsText(from.service));
  to.setPath(AsText(from.path));
  to.setContentType(AsText(from.content_type));
  to.setBody(AsData(from.body));
  to.setBodyDigest(AsText(from.body_digest));
  to.setTimeLeftNanos(from.time_left.count());
  to.setIdempotencyKey(AsText(from.idempotency_key));
  to.setAttempt(from.attempt);
  to.setFence(from.fence);
  to.setIncarnation(AsText(from.incarnation));
}

ServiceRequest Read(wire::ServiceRequest::Reader from) {
  ServiceRequest request;
  request.request_id = Text(from.getRequestId());
  request.workspace = Text(from.getWorkspace());
  request.service = Text(from.getService());
  request.path = Text(from.getPath());
  request.content_type = Text(from.getContentType());
  request.body = Bytes(from.getBody());
  request.body_digest = Text(from.getBodyDigest());
  request.time_left = Duration(from.getTimeLeftNanos());
  request.idempotency_key = Text(from.getIdempotencyKey());
  request.attempt = from.getAttempt();
  request.fence = from.getFence();
  request.incarnation = Text(from.getIncarnation());
  return request;
}

void Write(const ServiceAnswer& from, wire::ServiceAnswer::Builder to) {
  to.setRequestId(AsText(from.request_id));
  to.setStatus(from.status);
  to.setContentType(AsText(from.content_type));
  to.setBody(AsData(from.body));
  to.setBodyDigest(AsText(from.body_digest));
  Write(from.load, to.initLoad());
}

ServiceAnswer Read(wire::ServiceAnswer::Reader from) {
  ServiceAnswer answer;
  answer.request_id = Text(from.getRequestId());
  answer.status = from.getStatus();
  answer.content_type = Text(from.getContentType());
  answer.body = Bytes(from.getBody());
  answer.body_digest = Text(from.getBodyDigest());
  answer.load = Read(from.getLoad());
  return answer;
}

void Write(const RequestStatusQuery& from, wire::SeenQuestion::Builder to) {
  to.setWorkspace(AsText(from.workspace));
  to.setIdempotencyKey(AsText(from.idempotency_key));
  to.setAttempt(from.attempt);
  to.setFence(from.fence);
  to.setRequestId(AsText(from.request_id));
  to.setIncarnation(AsText(from.incarnation));
  to.setAgeNanos(from.age.count());
}

RequestStatusQuery Read(wire::SeenQuestion::Reader from) {
  return {Text(from.getWorkspace()),   Text(from.getIdempotencyKey()),
          from.getAttempt(),           from.getFence(),
          Text(from.getRequestId()),   Text(from.getIncarnation()),
          Duration(from.getAgeNanos())};
}

void Write(const RequestStatusReply& from, wire::SeenAnswer::Builder to) {
  to.setState(static_cast<uint16_t>(from.state));
  Write(from.answer, to.initAnswer());
}

RequestStatusReply Read(wire::SeenAnswer::Reader from) {
  RequestStatusReply answer;
  // A state that this version does not know stays kUnknown; it must not become kNeverWillRun.
  if (from.getState() <= static_cast<uint16_t>(RequestRunState::kUnknown)) {
    answer.state = static_cast<RequestRunState>(from.getState());
  }
  answer.answer = Read(from.getAnswer());
  return answer;
}

void Write(const GangReserve& from, wire::GangReserve::Builder to) {
  to.setEpoch(from.epoch);
  to.setJob(AsText(from.job));
  to.setWorkspace(AsText(from.workspace));
  to.setAttempt(from.attempt);
  Write(from.shape, to.initShape());
  auto tasks = to.initTasks(static_cast<unsigned>(from.tasks.size()));
  for (unsigned index = 0; index < tasks.size(); ++index) {
    tasks[index].setTask(from.tasks[index].task);
    tasks[index].setAccelerators(from.tasks[index].accelerators);
  }
  to.setHoldNanos(from.hold_timeout.count());
  to.setCheckpoints(from.checkpoints);
  to.setGuaranteed(from.guaranteed);
}

GangReserve Read(wire::GangReserve::Reader from) {
  GangReserve reserve;
  reserve.epoch = from.getEpoch();
  reserve.job = Text(from.getJob());
  reserve.workspace = Text(from.getWorkspace());
  reserve.attempt = from.getAttempt();
  reserve.shape = Read(from.getShape());
  for (const auto task : from.getTasks()) {
    reserve.tasks.push_back({task.getTask(), task.getAccelerators()});
  }
  reserve.hold_timeout = Duration(from.getHoldNanos());
  reserve.checkpoints = from.getCheckpoints();
  reserve.guaranteed = from.getGuaranteed();
  return reserve;
}

void Write(const GangStart& from, wire::GangStart::Builder to) {
  to.setEpoch(from.epoch);
  to.setJob(AsText(from.job));
  to.setAttempt(from.attempt);
  to.setPayload(AsText(from.payload));
  to.setCheckpoint(AsText(from.checkpoint));
}

GangStart Read(wire::GangStart::Reader from) {
  return {from.getEpoch(), Text(from.getJob()), from.getAttempt(), Text(from.getPayload()),
          Text(from.getCheckpoint())};
}

void Write(const GangAction& from, wire::GangAction::Builder to) {
  to.setEpoch(from.epoch);
  to.setJob(AsText(from.job));
  to.setAttempt(from.attempt);
  to.setLeaseNanos(from.lease.count());
  to.setCheckpoint(from.checkpoint);
  to.setBeatSentAt(from.heartbeat_sent_at);
}

GangAction Read(wire::GangAction::Reader from) {
  return {from.getEpoch(),      Text(from.getJob()),
          from.getAttempt(),    Duration(from.getLeaseNanos()),
          from.getCheckpoint(), from.getBeatSentAt()};
}

void Write(const EntryMember& from, wire::EntryMember::Builder to) {
  to.setProcess(AsText(from.process));
  to.setZone(AsText(from.zone));
  to.setAddress(AsText(from.address));
}

EntryMember Read(wire::EntryMember::Reader from) {
  return {Text(from.getProcess()), Text(from.getZone()), Text(from.getAddress())};
}

void Write(const ObservedEntry& from, wire::HeardEntry::Builder to) {
  Write(from.entry, to.initEntry());
  to.setConfigVersion(from.config_version);
  to.setAgeNanos(from.age.count());
}

ObservedEntry Read(wire::HeardEntry::Reader from) {
  return {Read(from.getEntry()), from.getConfigVersion(), Duration(from.getAgeNanos())};
}

void Write(const AgentHeartbeat& from, wire::AgentBeat::Builder to) {
  Write(from.load, to.initLoad());
  to.setConfigVersion(from.config_version);
  to.setLeaving(from.leaving);
  to.setPlannerEpoch(from.planner_epoch);
  to.setPlannerSilenceNanos(from.planner_silence.count());
  to.setSentAt(from.sent_at);
  to.setReportAgeNanos(from.report_age.count());
  auto tasks = to.initTasks(static_cast<unsigned>(from.tasks.size()));
  for (unsigned index = 0; index < tasks.size(); ++index) Write(from.tasks[index], tasks[index]);
  auto seen = to.initHeard(static_cast<unsigned>(from.observed.size()));
  for (unsigned index = 0; index < seen.size(); ++index) Write(from.observed[index], seen[index]);
  to.setMembersDigest(from.members_digest);
}

AgentHeartbeat Read(wire::AgentBeat::Reader from) {
  AgentHeartbeat heartbeat;
  heartbeat.load = Read(from.getLoad());
  heartbeat.config_version = from.getConfigVersion();
  heartbeat.leaving = from.getLeaving();
  heartbeat.planner_epoch = from.getPlannerEpoch();
  heartbeat.planner_silence = Duration(from.getPlannerSilenceNanos());
  heartbeat.sent_at = from.getSentAt();
  heartbeat.report_age = Duration(from.getReportAgeNanos());
  for (const auto task : from.getTasks()) heartbeat.tasks.push_back(Read(task));
  for (const auto entry : from.getHeard()) heartbeat.observed.push_back(Read(entry));
  heartbeat.members_digest = from.getMembersDigest();
  return heartbeat;
}

void Write(const HeartbeatReply& from, wire::EntryBeat::Builder to) {
  to.setConfigVersion(from.config_version);
  to.setConfigText(AsText(from.config_text));
  to.setFreshnessAgeNanos(from.freshness.age.count());
  to.setLogFailing(from.freshness.failing);
  auto entries = to.initEntries(static_cast<unsigned>(from.entries.size()));
  for (unsigned index = 0; index < entries.size(); ++index) {
    entries.set(index, AsText(from.entries[index]));
  }
  to.setPlannerAddress(AsText(from.planner_address));
  Write(from.self, to.initSelf());
  to.setEnvironment(AsText(from.environment));
  to.setConfigDigest(AsText(from.config_digest));
  auto members = to.initMembers(static_cast<unsigned>(from.members.size()));
  for (unsigned index = 0; index < members.size(); ++index) {
    Write(from.members[index], members[index]);
  }
  to.setPlannerEpoch(from.planner_epoch);
  to.setPlannerActive(from.planner_active);
  to.setJobsAgeNanos(from.jobs_freshness.age.count());
  to.setJobsFailing(from.jobs_freshness.failing);
}

HeartbeatReply Read(wire::EntryBeat::Reader from) {
  HeartbeatReply reply;
  reply.config_version = from.getConfigVersion();
  reply.config_text = Text(from.getConfigText());
  reply.freshness.age = Duration(from.getFreshnessAgeNanos());
  reply.freshness.failing = from.getLogFailing();
  for (const auto entry : from.getEntries()) reply.entries.push_back(Text(entry));
  reply.planner_address = Text(from.getPlannerAddress());
  reply.self = Read(from.getSelf());
  reply.environment = Text(from.getEnvironment());
  reply.config_digest = Text(from.getConfigDigest());
  for (const auto member : from.getMembers()) reply.members.push_back(Read(member));
  reply.planner_epoch = from.getPlannerEpoch();
  reply.planner_active = from.getPlannerActive();
  reply.jobs_freshness.age = Duration(from.getJobsAgeNanos());
  reply.jobs_freshness.failing = from.getJobsFailing();
  return reply;
}

void Write(const Error& from, wire::Failure::Builder to) {
  to.setKind(ErrorInfoFor(from.kind()).name);
  to.setOutcome(OutcomeName(from.outcome()));
  to.setMessage(from.what());
  to.setRetryAfterNanos(from.retry_after().value_or(Duration::zero()).count());
}

void ThrowIfFailed(wire::Failure::Reader from) {
  const std::string kind = Text(from.getKind());
  if (kind.empty()) return;
  Error error(ErrorKindFromName(kind), OutcomeFromName(Text(from.getOutcome())),
              Text(from.getMessage()));
  if (from.getRetryAfterNanos() > 0) error.set_retry_after(Duration(from.getRetryAfterNanos()));
  throw error;
}

}  // namespace turmericshift
