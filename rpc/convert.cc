#include "rpc/convert.h"

#include <kj/array.h>

namespace turmericshift {
namespace {

std::string Text(capnp::Text::Reader reader) { return {reader.cStr(), reader.size()}; }

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
  to.setJob(from.id.job);
  to.setAttempt(from.id.attempt);
  to.setTask(from.id.task);
  to.setPhase(static_cast<uint16_t>(from.phase));
  to.setAccelerators(from.accelerators);
  Write(from.shape, to.initShape());
  to.setProgress(from.progress);
  to.setCheckpoint(from.checkpoint);
  to.setEpoch(from.epoch);
  to.setWorkspace(from.workspace);
  to.setGuaranteed(from.guaranteed);
  to.setCheckpoints(from.checkpoints);
  to.setLeaseLeftNanos(from.lease_left.count());
}

TaskReport Read(wire::TaskReport::Reader from) {
  TaskReport report;
  report.id = {Text(from.getJob()), from.getAttempt(), from.getTask()};
  if (from.getPhase() > static_cast<uint16_t>(TaskPhase::kStopped)) {
    throw Error(ErrorKind::kInvalidInput, "unknown task phase");
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
  to.setProcess(from.process);
  to.setIncarnation(from.incarnation);
  to.setZone(from.zone);
  to.setRack(from.rack);
  to.setService(from.service);
  Write(from.worker, to.initWorker());
}

AgentHello Read(wire::AgentHello::Reader from) {
  return {Text(from.getProcess()), Text(from.getIncarnation()), Text(from.getZone()),
          Text(from.getRack()),    Text(from.getService()),     Read(from.getWorker())};
}

void Write(const ServiceRequest& from, wire::ServiceRequest::Builder to) {
  to.setRequestId(from.request_id);
  to.setWorkspace(from.workspace);
  to.setService(from.service);
  to.setPath(from.path);
  to.setContentType(from.content_type);
  to.setBody(AsData(from.body));
  to.setBodyDigest(from.body_digest);
  to.setTimeLeftNanos(from.time_left.count());
  to.setIdempotencyKey(from.idempotency_key);
  to.setAttempt(from.attempt);
  to.setFence(from.fence);
  to.setIncarnation(from.incarnation);
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
  to.setRequestId(from.request_id);
  to.setStatus(from.status);
  to.setContentType(from.content_type);
  to.setBody(AsData(from.body));
  to.setBodyDigest(from.body_digest);
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

void Write(const SeenQuestion& from, wire::SeenQuestion::Builder to) {
  to.setWorkspace(from.workspace);
  to.setIdempotencyKey(from.idempotency_key);
  to.setAttempt(from.attempt);
  to.setFence(from.fence);
  to.setRequestId(from.request_id);
  to.setIncarnation(from.incarnation);
  to.setAgeNanos(from.age.count());
}

SeenQuestion Read(wire::SeenQuestion::Reader from) {
  return {Text(from.getWorkspace()),   Text(from.getIdempotencyKey()),
          from.getAttempt(),           from.getFence(),
          Text(from.getRequestId()),   Text(from.getIncarnation()),
          Duration(from.getAgeNanos())};
}

void Write(const SeenAnswer& from, wire::SeenAnswer::Builder to) {
  to.setState(static_cast<uint16_t>(from.state));
  Write(from.answer, to.initAnswer());
}

SeenAnswer Read(wire::SeenAnswer::Reader from) {
  SeenAnswer answer;
  // A state that this version does not know must not read as "never will run".
  if (from.getState() <= static_cast<uint16_t>(SeenState::kUnknown)) {
    answer.state = static_cast<SeenState>(from.getState());
  }
  answer.answer = Read(from.getAnswer());
  return answer;
}

void Write(const GangReserve& from, wire::GangReserve::Builder to) {
  to.setEpoch(from.epoch);
  to.setJob(from.job);
  to.setWorkspace(from.workspace);
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
  to.setJob(from.job);
  to.setAttempt(from.attempt);
  to.setPayload(from.payload);
  to.setCheckpoint(from.checkpoint);
}

GangStart Read(wire::GangStart::Reader from) {
  return {from.getEpoch(), Text(from.getJob()), from.getAttempt(), Text(from.getPayload()),
          Text(from.getCheckpoint())};
}

void Write(const GangAction& from, wire::GangAction::Builder to) {
  to.setEpoch(from.epoch);
  to.setJob(from.job);
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
  to.setProcess(from.process);
  to.setZone(from.zone);
  to.setAddress(from.address);
}

EntryMember Read(wire::EntryMember::Reader from) {
  return {Text(from.getProcess()), Text(from.getZone()), Text(from.getAddress())};
}

void Write(const HeardEntry& from, wire::HeardEntry::Builder to) {
  Write(from.entry, to.initEntry());
  to.setConfigVersion(from.config_version);
  to.setAgeNanos(from.age.count());
}

HeardEntry Read(wire::HeardEntry::Reader from) {
  return {Read(from.getEntry()), from.getConfigVersion(), Duration(from.getAgeNanos())};
}

void Write(const AgentBeat& from, wire::AgentBeat::Builder to) {
  Write(from.load, to.initLoad());
  to.setConfigVersion(from.config_version);
  to.setLeaving(from.leaving);
  to.setPlannerEpoch(from.planner_epoch);
  to.setPlannerSilenceNanos(from.planner_silence.count());
  to.setSentAt(from.sent_at);
  to.setReportAgeNanos(from.report_age.count());
  auto tasks = to.initTasks(static_cast<unsigned>(from.tasks.size()));
  for (unsigned index = 0; index < tasks.size(); ++index) Write(from.tasks[index], tasks[index]);
  auto heard = to.initHeard(static_cast<unsigned>(from.heard.size()));
  for (unsigned index = 0; index < heard.size(); ++index) Write(from.heard[index], heard[index]);
  to.setMembersDigest(from.members_digest);
}

AgentBeat Read(wire::AgentBeat::Reader from) {
  AgentBeat beat;
  beat.load = Read(from.getLoad());
  beat.config_version = from.getConfigVersion();
  beat.leaving = from.getLeaving();
  beat.planner_epoch = from.getPlannerEpoch();
  beat.planner_silence = Duration(from.getPlannerSilenceNanos());
  beat.sent_at = from.getSentAt();
  beat.report_age = Duration(from.getReportAgeNanos());
  for (const auto task : from.getTasks()) beat.tasks.push_back(Read(task));
  for (const auto heard : from.getHeard()) beat.heard.push_back(Read(heard));
  beat.members_digest = from.getMembersDigest();
  return beat;
}

void Write(const EntryBeat& from, wire::EntryBeat::Builder to) {
  to.setConfigVersion(from.config_version);
  to.setConfigText(from.config_text);
  to.setFreshnessAgeNanos(from.freshness.age.count());
  to.setLogFailing(from.freshness.failing);
  auto entries = to.initEntries(static_cast<unsigned>(from.entries.size()));
  for (unsigned index = 0; index < entries.size(); ++index) entries.set(index, from.entries[index]);
  to.setPlannerAddress(from.planner_address);
  Write(from.self, to.initSelf());
  to.setEnvironment(from.environment);
  to.setConfigDigest(from.config_digest);
  auto members = to.initMembers(static_cast<unsigned>(from.members.size()));
  for (unsigned index = 0; index < members.size(); ++index) {
    Write(from.members[index], members[index]);
  }
  to.setPlannerEpoch(from.planner_epoch);
  to.setPlannerActive(from.planner_active);
  to.setJobsAgeNanos(from.jobs_freshness.age.count());
  to.setJobsFailing(from.jobs_freshness.failing);
}

EntryBeat Read(wire::EntryBeat::Reader from) {
  EntryBeat beat;
  beat.config_version = from.getConfigVersion();
  beat.config_text = Text(from.getConfigText());
  beat.freshness.age = Duration(from.getFreshnessAgeNanos());
  beat.freshness.failing = from.getLogFailing();
  for (const auto entry : from.getEntries()) beat.entries.push_back(Text(entry));
  beat.planner_address = Text(from.getPlannerAddress());
  beat.self = Read(from.getSelf());
  beat.environment = Text(from.getEnvironment());
  beat.config_digest = Text(from.getConfigDigest());
  for (const auto member : from.getMembers()) beat.members.push_back(Read(member));
  beat.planner_epoch = from.getPlannerEpoch();
  beat.planner_active = from.getPlannerActive();
  beat.jobs_freshness.age = Duration(from.getJobsAgeNanos());
  beat.jobs_freshness.failing = from.getJobsFailing();
  return beat;
}

void Write(const Error& from, wire::Failure::Builder to) {
  to.setKind(ErrorInfoFor(from.kind()).name);
  to.setOutcome(OutcomeName(from.outcome()));
  to.setMessage(from.what());
}

void ThrowIfFailed(wire::Failure::Reader from) {
  const std::string kind = Text(from.getKind());
  if (kind.empty()) return;
  throw Error(ErrorKindFromName(kind), OutcomeFromName(Text(from.getOutcome())),
              Text(from.getMessage()));
}

}  // namespace turmericshift
