#include "servers/planner/planner_simulation.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "core/digest.h"
#include "core/error.h"
#include "servers/state/stream_client.h"

namespace turmericshift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kZone = "zone-a";
constexpr int kEntries = 3;
constexpr int kAgents = 4;
constexpr Duration kTick = milliseconds(100);
constexpr int kTicksPerHeartbeat = 10;
constexpr Duration kLease = seconds(10);
constexpr Duration kZoneOutBound = seconds(3);
// The lease counts from the heartbeats that show every member running. The additional second covers
// a round of the agents and of the simulation.
constexpr Duration kPartialGangLimit = kLease + seconds(1);
constexpr size_t kMaxViolations = 20;
constexpr TaskShape kCapacity = {8, int64_t{8} << 30, 4};

std::string Document(bool zone_in) {
  return std::string("[environment]\ndeployment = test\nlease = 10s\nzone_out_bound = 3s\n") +
         "[availability_zone zone-a]\nstate = " + (zone_in ? "in" : "out") +
         "\nworkers = 4\nworkers_per_rack = 4\nprocessors_per_worker = 8\n"
         "memory_per_worker = 8GiB\naccelerators_per_worker = 4\n"
         "[workspace boxes]\ntoken_hashes =\nguarantee = 2 worker\naccelerator_cap = 16\n";
}

ConfigPublished Published(int64_t version, bool zone_in) {
  const std::string text = Document(zone_in);
  ConfigPublished record{NewRecordId(), version, version - 1, Digest(text), text, "test", 0, ""};
  record.sets_zones = true;
  return record;
}

AgentHello HelloOf(const std::string& agent) {
  AgentHello hello;
  hello.process = agent;
  hello.zone = kZone;
  hello.rack = "rack";
  hello.worker = kCapacity;
  return hello;
}

// Runs work as a ThreadPool does, which outlives an exception of its work.
void RunWork(const std::function<void()>& work) {
  try {
    work();
  } catch (const std::exception&) {
    // The pool logs it.
  }
}

}  // namespace

struct PlannerSimulation::Entry {
  std::string name;
  Offset next = 0;
  int64_t appends_seen = -1;
  bool up = true;
  // The entry's thread is paused until this time.
  Time paused_until{};
  bool log_unreachable = false;
  bool failing = false;
  Time log_current_at{};
  std::unique_ptr<ReplicatedJobs> jobs;
  std::unique_ptr<ReplicatedConfig> config;
  std::unique_ptr<AgentDirectory> directory;
  std::unique_ptr<Writer> writer;
  std::unique_ptr<GangRunner> runner;
  std::vector<std::function<void()>> work;
  std::unique_ptr<ZonePlannerService> service;
};

struct PlannerSimulation::Agent {
  std::string name;
  bool up = true;
  std::unique_ptr<FakeWorker> worker;
  std::unique_ptr<StartGuard> guard;
  std::unique_ptr<GangHost> host;
  // Entries that the agent can't reach.
  std::set<std::string> unreachable_entries;
};

// Appends to the shared log and then reads until the entry's own replicated state includes the
// record.
class PlannerSimulation::Writer : public RecordWriter {
 public:
  Writer(PlannerSimulation* simulation, Entry* entry) : simulation_(simulation), entry_(entry) {}

  WriteResult Write(const Record& record, Duration /*timeout*/) override {
    if (std::exchange(simulation_->break_next_write_, false)) {
      throw std::runtime_error("the write is broken");
    }
    if (entry_->log_unreachable) {
      throw Error(ErrorKind::kLogUnavailable, Outcome::kNotRun, "the log is unreachable");
    }
    const Offset offset = simulation_->log_.Append("jobs", EncodeRecords({record}), seconds(1));
    // Sometimes the response is lost after the record was written.
    if (simulation_->faults_ && simulation_->Chance(0.05)) {
      throw Error(ErrorKind::kLogUnavailable, Outcome::kUnknown, "the response was lost");
    }
    last_offset_ = offset;
    simulation_->ReadLog(entry_);
    return {SequenceOf(offset, 0), last_verdict_};
  }

  void Applied(Offset offset, const RecordVerdict& verdict) {
    if (offset == last_offset_) last_verdict_ = verdict;
  }

 private:
  PlannerSimulation* const simulation_;
  Entry* const entry_;
  Offset last_offset_ = kNoOffset;
  RecordVerdict last_verdict_;
};

// The connection from one entry to an agent. Calls and responses may be lost or delayed, and the
// caller may be paused.
class PlannerSimulation::Port : public AgentPort {
 public:
  Port(PlannerSimulation* simulation, Entry* entry, Agent* agent)
      : simulation_(simulation), entry_(entry), agent_(agent) {}

  ServiceAnswer Serve(const ServiceRequest&) override { return {}; }
  void Cancel(const std::string&) override {}
  RequestStatusReply Resolve(const RequestStatusQuery&, Duration) override { return {}; }
  void Reserve(const GangReserve& step, Duration) override { Send(step, &GangHost::Reserve); }
  void Start(const GangStart& step, Duration) override { Send(step, &GangHost::Start); }
  void Release(const GangAction& step, Duration) override { Send(step, &GangHost::Release); }
  void Renew(const GangAction& step, Duration) override { Send(step, &GangHost::Renew); }
  void Stop(const GangAction& step, Duration) override { Send(step, &GangHost::Stop); }
  void Forget(const GangAction& step, Duration) override { Send(step, &GangHost::Forget); }

 private:
  template <typename Step>
  void Send(Step step, void (GangHost::*call)(const Step&, Time)) {
    MaybePause();
    // Injected defect: the call carries an epoch that the agent accepts as new.
    if (simulation_->injected_.no_fencing) step.epoch = std::max(step.epoch, agent_->host->epoch());
    const Error lost(ErrorKind::kDeadlineExceeded, Outcome::kUnknown,
                     "no response before the timeout");
    if (!agent_->up || agent_->unreachable_entries.count(entry_->name) != 0) throw lost;
    if (simulation_->faults_ && simulation_->Chance(0.02)) throw lost;
    if (simulation_->faults_ && simulation_->Chance(0.02)) {
      const Time arrival =
          simulation_->clock_.Now() + kTick * static_cast<int>(simulation_->random_() % 250);
      simulation_->delayed_actions_.emplace_back(
          arrival, [simulation = simulation_, agent = agent_, step, call] {
            try {
              if (agent->up) (agent->host.get()->*call)(step, simulation->clock_.Now());
            } catch (const Error&) {
              // The caller no longer waits for the response.
            }
          });
      throw lost;
    }
    (agent_->host.get()->*call)(step, simulation_->clock_.Now());
    if (simulation_->faults_ && simulation_->Chance(0.02)) throw lost;
  }

  // Advances the rest of the simulation while this entry is paused within a call.
  void MaybePause() {
    int64_t ticks = std::exchange(simulation_->pause_next_call_, Duration::zero()) / kTick;
    if (simulation_->nested_pauses_ != 0) return;
    if (simulation_->faults_ && simulation_->Chance(0.02)) ticks = simulation_->random_() % 300;
    if (ticks == 0) return;
    ++simulation_->nested_pauses_;
    // One more tick than the simulation advances below, so that the entry resumes before it reads
    // the records that others append during its pause.
    entry_->paused_until = simulation_->clock_.Now() + kTick * (ticks + 1);
    for (int64_t tick = 0; tick < ticks; ++tick) simulation_->Tick(false);
    --simulation_->nested_pauses_;
  }

  PlannerSimulation* const simulation_;
  Entry* const entry_;
  Agent* const agent_;
};

PlannerSimulation::PlannerSimulation(uint64_t seed, const InjectedFaults& injected)
    : injected_(injected), random_(seed) {
  PublishDocument();
  for (int index = 0; index < kAgents; ++index) {
    agents_.push_back(std::make_unique<Agent>());
    agents_.back()->name = "worker-" + std::to_string(index);
    agents_.back()->worker = std::make_unique<FakeWorker>(&clock_);
    StartAgent(agents_.back().get());
  }
  for (int index = 0; index < kEntries; ++index) {
    entries_.push_back(std::make_unique<Entry>());
    entries_.back()->name = "entry-" + std::to_string(index);
    StartEntry(entries_.back().get());
  }
  Run(seconds(10), false);
}

PlannerSimulation::~PlannerSimulation() {
  for (auto& entry : entries_) {
    // The service waits in its destructor until all work has finished.
    for (const auto& work : std::exchange(entry->work, {})) work();
    entry->service.reset();
  }
}

std::string PlannerSimulation::Submit(const JobSpec& spec) {
  JobSubmitted record;
  record.id = NewRecordId();
  record.spec = spec;
  record.zone = kZone;
  SetLogDown(false);
  log_.Append("jobs", EncodeRecords({record}), seconds(1));
  const std::string id = JobId(spec.workspace, spec.key);
  jobs_[id] = spec;
  return id;
}

void PlannerSimulation::Cancel(const std::string& job) {
  SetLogDown(false);
  log_.Append("jobs", EncodeRecords({JobCancelled{NewRecordId(), job}}), seconds(1));
}

void PlannerSimulation::Run(Duration time, bool faults) {
  faults_ = faults;
  const Time end = clock_.Now() + time;
  while (clock_.Now() < end) Tick(faults);
  faults_ = false;
}

void PlannerSimulation::RecoverAll() {
  SetLogDown(false);
  SetZoneIn(true);
  for (auto& entry : entries_) {
    entry->paused_until = Time();
    entry->log_unreachable = false;
    if (!entry->up) StartEntry(entry.get());
  }
  for (auto& agent : agents_) {
    agent->unreachable_entries.clear();
    if (!agent->up) StartAgent(agent.get());
  }
}

std::optional<JobRecord> PlannerSimulation::Job(const std::string& id) const {
  return entries_.front()->jobs->Find(id);
}

std::string PlannerSimulation::planner() const {
  for (const auto& entry : entries_) {
    if (entry->up && entry->service->is_leader()) return entry->name;
  }
  return "";
}

void PlannerSimulation::KillEntry(const std::string& name) {
  for (auto& entry : entries_) {
    if (entry->name != name || !entry->up) continue;
    entry->up = false;
    // Calls in flight fail when the entry is killed, but the executor's work must still finish.
    for (auto& agent : agents_) agent->unreachable_entries.insert(name);
    entry->log_unreachable = true;
    for (const auto& work : std::exchange(entry->work, {})) work();
    entry->service.reset();
    for (auto& agent : agents_) agent->unreachable_entries.erase(name);
  }
}

void PlannerSimulation::SetLogDown(bool down) {
  log_down_ = down;
  LogFaults faults;
  faults.appends_fail = down;
  faults.reads_fail = down;
  log_.SetFaults(faults);
}

void PlannerSimulation::PartitionAgent(const std::string& name,
                                       const std::set<std::string>& entries, Duration time) {
  for (auto& agent : agents_) {
    if (agent->name != name) continue;
    agent->unreachable_entries = entries;
    delayed_actions_.emplace_back(clock_.Now() + time, [partitioned = agent.get()] {
      partitioned->unreachable_entries.clear();
    });
  }
}

void PlannerSimulation::SetZoneIn(bool in) {
  if (in == zone_in_) return;
  zone_in_ = in;
  zone_out_at_ = clock_.Now();
  PublishDocument();
}

size_t PlannerSimulation::AttemptsReleased(const std::string& job) const {
  const auto found = released_.find(job);
  return found == released_.end() ? 0 : found->second.size();
}

bool PlannerSimulation::Runs(const std::string& job) const {
  for (const auto& agent : agents_) {
    for (const TaskReport& report : agent->worker->Report()) {
      if (report.id.job == job && report.phase == TaskPhase::kRunning) return true;
    }
  }
  return false;
}

void PlannerSimulation::Tick(bool faults) {
  clock_.Advance(kTick);
  const Time now = clock_.Now();
  if (faults) MaybeFault();
  for (auto& entry : entries_) {
    if (entry->up && now >= entry->paused_until) ReadLog(entry.get());
  }
  std::vector<std::function<void()>> arrived;
  std::erase_if(delayed_actions_, [&](const auto& call) {
    if (call.first <= now) arrived.push_back(call.second);
    return call.first <= now;
  });
  for (const auto& call : arrived) call();
  const int64_t number = now.time_since_epoch() / kTick;
  for (size_t index = 0; index < agents_.size(); ++index) {
    Agent* agent = agents_[index].get();
    if (!agent->up) continue;
    agent->host->Expire(now);
    if ((number + static_cast<int64_t>(index)) % kTicksPerHeartbeat != 0) continue;
    for (auto& entry : entries_) SendHeartbeat(entry.get(), agent);
  }
  for (auto& entry : entries_) {
    if (!entry->up || now < entry->paused_until) continue;
    try {
      entry->service->Step(now);
    } catch (const Error&) {
      // The next round follows, as in ZonePlannerManager.
    }
    for (const auto& work : std::exchange(entry->work, {})) RunWork(work);
  }
  Check();
}

void PlannerSimulation::ReadLog(Entry* entry) {
  const int64_t appends = log_.appends();
  // Skips the read if no record was appended: a read without new entries sleeps for a short real
  // time, which adds up over a test run.
  if (!log_down_ && !entry->log_unreachable && entry->appends_seen == appends) {
    entry->failing = false;
    entry->log_current_at = clock_.Now();
    return;
  }
  try {
    if (entry->log_unreachable) throw Error(ErrorKind::kLogUnavailable, "the log is unreachable");
    const LogBatch batch = log_.Read("jobs", entry->next, Duration::zero(), seconds(1));
    for (const LogEntry& each : batch.entries) {
      for (const PlacedRecord& placed : DecodeRecords(each.bytes)) {
        const Sequence sequence = SequenceOf(each.offset, placed.place);
        entry->writer->Applied(each.offset, entry->jobs->Apply(placed.record, sequence));
      }
      entry->next = each.offset + 1;
    }
    entry->appends_seen = appends;
    entry->failing = false;
    entry->log_current_at = clock_.Now();
  } catch (const Error&) {
    entry->failing = true;
  }
}

void PlannerSimulation::SendHeartbeat(Entry* entry, Agent* agent) {
  const Time now = clock_.Now();
  const bool paused = now < entry->paused_until;
  if (!entry->up || paused || agent->unreachable_entries.count(entry->name) != 0) return;
  AgentHeartbeat beat;
  agent->host->FillHeartbeat(&beat, now);
  entry->directory->RecordHeartbeat(HelloOf(agent->name), beat, now);
  HeartbeatReply answer;
  const PlannerEpoch epoch = entry->jobs->Planner(kZone);
  answer.planner_epoch = epoch.epoch;
  answer.planner_active = epoch.process == entry->name && entry->service->is_leader();
  answer.jobs_freshness = {now - entry->log_current_at, entry->failing};
  for (const auto& each : entries_) answer.entries.push_back(each->name);
  agent->host->HandleHeartbeatReply(entry->name, answer, now);
  // Agents receive documents immediately; outages of this path are tested elsewhere.
  const auto config = entry->config->current();
  answer.config_version = config->version;
  answer.config_text = config->text;
  answer.freshness.age = Duration::zero();
  agent->guard->HandleHeartbeatReply(answer, now);
}

void PlannerSimulation::StartEntry(Entry* entry) {
  entry->up = true;
  entry->log_unreachable = false;
  entry->next = 0;
  entry->appends_seen = -1;
  entry->jobs = std::make_unique<ReplicatedJobs>();
  entry->config = std::make_unique<ReplicatedConfig>();
  entry->directory = std::make_unique<AgentDirectory>();
  entry->writer = std::make_unique<Writer>(this, entry);
  entry->runner = std::make_unique<GangRunner>(entry->directory.get(), 0);
  for (int64_t version = 1; version <= version_; ++version) {
    entry->config->Apply(Published(version, version == version_ ? zone_in_ : !zone_in_), version);
  }
  for (auto& agent : agents_) {
    entry->directory->Open(HelloOf(agent->name), std::make_shared<Port>(this, entry, agent.get()),
                           clock_.Now());
  }
  ReadLog(entry);
  PlannerOptions options;
  options.zone = kZone;
  options.process = entry->name;
  options.own_zone = entry->name == "entry-0" ? kZone : "zone-b";
  entry->service = std::make_unique<ZonePlannerService>(
      options, entry->directory.get(), entry->writer.get(), entry->jobs.get(), entry->config.get(),
      entry->runner.get(),
      [this, entry](std::function<void()> work) {
        if (threads_short_) {
          throw Error(ErrorKind::kUnavailable, Outcome::kNotRun, "can't create a thread");
        }
        entry->work.push_back(std::move(work));
      },
      &metrics_);
}

void PlannerSimulation::StartAgent(Agent* agent) {
  agent->up = true;
  agent->guard = std::make_unique<StartGuard>(kZone);
  agent->host =
      std::make_unique<GangHost>(kCapacity, agent->worker.get(), agent->guard.get(), agent->name);
}

void PlannerSimulation::MaybeFault() {
  if (!Chance(0.02)) return;
  Entry* entry = Pick(entries_);
  Agent* agent = Pick(agents_);
  switch (random_() % 10) {
    case 0:
      if (nested_pauses_ == 0) KillEntry(entry->name);
      break;
    case 1:
      if (!entry->up && nested_pauses_ == 0) StartEntry(entry);
      break;
    case 2:
      entry->paused_until = clock_.Now() + kTick * static_cast<int>(random_() % 300);
      break;
    case 3:
      entry->log_unreachable = !entry->log_unreachable;
      break;
    case 4:
      SetLogDown(Chance(0.5));
      break;
    case 5:
      agent->unreachable_entries.insert(entry->name);
      break;
    case 6:
      agent->unreachable_entries.clear();
      break;
    case 7:
      agent->up = false;
      break;
    case 8:
      if (!agent->up) StartAgent(agent);
      break;
    default:
      // The VM fails, and the tasks that ran on it are lost.
      agent->worker = std::make_unique<FakeWorker>(&clock_);
      StartAgent(agent);
      break;
  }
}

void PlannerSimulation::PublishDocument() {
  ++version_;
  for (auto& entry : entries_) {
    entry->config->Apply(Published(version_, zone_in_), version_);
  }
}

void PlannerSimulation::Check() {
  const Time now = clock_.Now();
  std::map<std::string, std::map<int64_t, int>> running;
  std::map<std::string, std::map<int64_t, int>> ended;
  for (const auto& agent : agents_) {
    for (const TaskReport& report : agent->worker->Report()) {
      const TaskId& id = report.id;
      if (report.phase == TaskPhase::kDone) ++ended[id.job][id.attempt];
      if (report.phase != TaskPhase::kRunning) continue;
      ++running[id.job][id.attempt];
      const bool inserted = released_[id.job].insert(id.attempt).second;
      if (inserted && !zone_in_ && now > zone_out_at_ + kZoneOutBound) {
        violations_.push_back(id.job + " started while its zone was out");
      }
    }
  }
  CheckDone(ended);
  std::set<std::string> partial;
  for (const auto& [job, attempts] : running) {
    if (attempts.size() > 1) violations_.push_back("two attempts of " + job + " run in parallel");
    const auto& [attempt, tasks] = *attempts.begin();
    if (tasks + ended[job][attempt] >= jobs_[job].tasks) continue;
    partial.insert(job);
    const Time since = partial_since_.try_emplace(job, now).first->second;
    if (now - since > kPartialGangLimit) violations_.push_back("part of " + job + " ran alone");
  }
  std::erase_if(partial_since_, [&](const auto& each) { return partial.count(each.first) == 0; });
  for (const auto& [job, attempts] : released_) {
    if (jobs_[job].repeatable || attempts.size() < 2) continue;
    violations_.push_back(job + " is not repeatable but was released twice");
  }
  if (violations_.size() > kMaxViolations) violations_.resize(kMaxViolations);
}

void PlannerSimulation::CheckDone(const std::map<std::string, std::map<int64_t, int>>& ended) {
  const bool all_reachable = std::all_of(agents_.begin(), agents_.end(), [](const auto& agent) {
    return agent->up && agent->unreachable_entries.empty();
  });
  for (const auto& [job, attempts] : done_) {
    if (attempts.empty()) continue;
    const auto found = ended.find(job);
    const int64_t newest = *attempts.rbegin();
    const bool whole = found != ended.end() && found->second.count(newest) != 0 &&
                       found->second.at(newest) == jobs_[job].tasks;
    const auto recorded = entries_.front()->jobs->Find(job);
    const bool open = !recorded || recorded->state == JobState::kWaiting;
    if (open && !(whole && all_reachable)) result_lost_.insert(job);
  }
  for (const auto& [job, attempts] : ended) {
    for (const auto& [attempt, tasks] : attempts) {
      if (tasks == jobs_[job].tasks) done_[job].insert(attempt);
    }
    if (done_[job].size() > 1 && result_lost_.count(job) == 0) {
      violations_.push_back(job + " was completed twice");
    }
  }
}

bool PlannerSimulation::Chance(double share) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

template <typename Each>
Each* PlannerSimulation::Pick(const std::vector<std::unique_ptr<Each>>& all) {
  return all[random_() % all.size()].get();
}

}  // namespace turmericshift
