#include "servers/planner/planner_simulation.h"

#include <algorithm>
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
constexpr int kTicksPerBeat = 10;
constexpr Duration kLease = seconds(10);
constexpr Duration kZoneOutBound = seconds(3);
// The lease counts from the evidence of every member; the rest is the agents' round and ours.
constexpr Duration kPartialBound = kLease + seconds(1);
constexpr size_t kMaxLines = 20;
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

}  // namespace

struct PlannerSimulation::Entry {
  std::string name;
  Offset next = 0;
  int64_t appends_seen = -1;
  bool up = true;
  // Its thread stands still until then.
  Time paused_until{};
  bool log_cut = false;
  bool failing = false;
  Time fresh_at{};
  std::unique_ptr<JobFold> jobs;
  std::unique_ptr<ConfigFold> config;
  std::unique_ptr<AgentDirectory> directory;
  std::unique_ptr<Writer> writer;
  std::unique_ptr<GangRunner> runner;
  std::vector<std::function<void()>> work;
  std::unique_ptr<ZonePlannerService> duty;
};

struct PlannerSimulation::Agent {
  std::string name;
  bool up = true;
  std::unique_ptr<FakeWorker> worker;
  std::unique_ptr<StartGuard> guard;
  std::unique_ptr<GangHost> host;
  // Entries that it can't reach.
  std::set<std::string> cut;
};

// Appends to the common log and reads on until the entry's own fold has the record.
class PlannerSimulation::Writer : public RecordWriter {
 public:
  Writer(PlannerSimulation* world, Entry* entry) : world_(world), entry_(entry) {}

  Written Write(const Record& record, Duration /*timeout*/) override {
    if (entry_->log_cut) {
      throw Error(ErrorKind::kLogUnavailable, Outcome::kNotRun, "cut off from the log");
    }
    const Offset offset = world_->log_.Append("jobs", EncodeRecords({record}), seconds(1));
    // The answer is lost at times, after the record has landed.
    if (world_->faults_ && world_->Chance(0.05)) {
      throw Error(ErrorKind::kLogUnavailable, Outcome::kUnknown, "the answer was lost");
    }
    last_offset_ = offset;
    world_->Pump(entry_);
    return {SequenceOf(offset, 0), last_verdict_};
  }

  void Applied(Offset offset, const FoldVerdict& verdict) {
    if (offset == last_offset_) last_verdict_ = verdict;
  }

 private:
  PlannerSimulation* const world_;
  Entry* const entry_;
  Offset last_offset_ = kNoOffset;
  FoldVerdict last_verdict_;
};

// An agent as one entry reaches it: calls and answers are lost, late, or the caller is paused.
class PlannerSimulation::Port : public AgentPort {
 public:
  Port(PlannerSimulation* world, Entry* entry, Agent* agent)
      : world_(world), entry_(entry), agent_(agent) {}

  ServiceAnswer Serve(const ServiceRequest&) override { return {}; }
  void Cancel(const std::string&) override {}
  SeenAnswer Resolve(const SeenQuestion&, Duration) override { return {}; }
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
    // A fault that tests plant: what the agents fence by is passed off as new.
    if (world_->planted_.no_fencing) step.epoch = std::max(step.epoch, agent_->host->epoch());
    const Error lost(ErrorKind::kDeadlineExceeded, Outcome::kUnknown, "no answer in time");
    if (!agent_->up || agent_->cut.count(entry_->name) != 0) throw lost;
    if (world_->faults_ && world_->Chance(0.02)) throw lost;
    if (world_->faults_ && world_->Chance(0.02)) {
      const Time arrival = world_->clock_.Now() + kTick * static_cast<int>(world_->random_() % 250);
      world_->late_calls_.emplace_back(arrival, [world = world_, agent = agent_, step, call] {
        try {
          if (agent->up) (agent->host.get()->*call)(step, world->clock_.Now());
        } catch (const Error&) {
          // Nobody waits for the answer any more.
        }
      });
      throw lost;
    }
    (agent_->host.get()->*call)(step, world_->clock_.Now());
    if (world_->faults_ && world_->Chance(0.02)) throw lost;
  }

  // The world goes on while this entry stands still in the middle of its work.
  void MaybePause() {
    int64_t ticks = std::exchange(world_->pause_next_call_, Duration::zero()) / kTick;
    if (world_->nested_ != 0) return;
    if (world_->faults_ && world_->Chance(0.02)) ticks = world_->random_() % 300;
    if (ticks == 0) return;
    ++world_->nested_;
    // It wakes before it has read on in the log.
    entry_->paused_until = world_->clock_.Now() + kTick * (ticks + 1);
    for (int64_t tick = 0; tick < ticks; ++tick) world_->Tick(false);
    --world_->nested_;
  }

  PlannerSimulation* const world_;
  Entry* const entry_;
  Agent* const agent_;
};

PlannerSimulation::PlannerSimulation(uint64_t seed, const PlantedFaults& planted)
    : planted_(planted), random_(seed) {
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
    // Let each piece of work end, as the duty waits for it.
    for (const auto& work : std::exchange(entry->work, {})) work();
    entry->duty.reset();
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

void PlannerSimulation::Heal() {
  SetLogDown(false);
  SetZoneIn(true);
  for (auto& entry : entries_) {
    entry->paused_until = Time();
    entry->log_cut = false;
    if (!entry->up) StartEntry(entry.get());
  }
  for (auto& agent : agents_) {
    agent->cut.clear();
    if (!agent->up) StartAgent(agent.get());
  }
}

std::optional<JobRecord> PlannerSimulation::Job(const std::string& id) const {
  return entries_.front()->jobs->Find(id);
}

std::string PlannerSimulation::planner() const {
  for (const auto& entry : entries_) {
    if (entry->up && entry->duty->holds_duty()) return entry->name;
  }
  return "";
}

void PlannerSimulation::KillEntry(const std::string& name) {
  for (auto& entry : entries_) {
    if (entry->name != name || !entry->up) continue;
    entry->up = false;
    // Its calls under way are lost with it; the executor's bookkeeping must still end.
    for (auto& agent : agents_) agent->cut.insert(name);
    entry->log_cut = true;
    for (const auto& work : std::exchange(entry->work, {})) work();
    entry->duty.reset();
    for (auto& agent : agents_) agent->cut.erase(name);
  }
}

void PlannerSimulation::SetLogDown(bool down) {
  log_down_ = down;
  LogFaults faults;
  faults.appends_fail = down;
  faults.reads_fail = down;
  log_.SetFaults(faults);
}

void PlannerSimulation::CutAgent(const std::string& name, const std::set<std::string>& entries,
                                 Duration time) {
  for (auto& agent : agents_) {
    if (agent->name != name) continue;
    agent->cut = entries;
    late_calls_.emplace_back(clock_.Now() + time, [cut = agent.get()] { cut->cut.clear(); });
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
    if (entry->up && now >= entry->paused_until) Pump(entry.get());
  }
  std::vector<std::function<void()>> arrived;
  std::erase_if(late_calls_, [&](const auto& call) {
    if (call.first <= now) arrived.push_back(call.second);
    return call.first <= now;
  });
  for (const auto& call : arrived) call();
  const int64_t number = now.time_since_epoch() / kTick;
  for (size_t index = 0; index < agents_.size(); ++index) {
    Agent* agent = agents_[index].get();
    if (!agent->up) continue;
    agent->host->Expire(now);
    if ((number + static_cast<int64_t>(index)) % kTicksPerBeat != 0) continue;
    for (auto& entry : entries_) Beat(entry.get(), agent);
  }
  for (auto& entry : entries_) {
    if (!entry->up || now < entry->paused_until) continue;
    entry->duty->Step(now);
    for (const auto& work : std::exchange(entry->work, {})) work();
  }
  Check();
}

void PlannerSimulation::Pump(Entry* entry) {
  const int64_t appends = log_.appends();
  // A read that finds nothing sleeps for a moment of real time, which adds up.
  if (!log_down_ && !entry->log_cut && entry->appends_seen == appends) {
    entry->failing = false;
    entry->fresh_at = clock_.Now();
    return;
  }
  try {
    if (entry->log_cut) throw Error(ErrorKind::kLogUnavailable, "cut off from the log");
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
    entry->fresh_at = clock_.Now();
  } catch (const Error&) {
    entry->failing = true;
  }
}

void PlannerSimulation::Beat(Entry* entry, Agent* agent) {
  const Time now = clock_.Now();
  const bool paused = now < entry->paused_until;
  if (!entry->up || paused || agent->cut.count(entry->name) != 0) return;
  AgentBeat beat;
  agent->host->FillBeat(&beat, now);
  entry->directory->RecordHeartbeat(HelloOf(agent->name), beat, now);
  EntryBeat answer;
  const PlannerEpoch epoch = entry->jobs->Planner(kZone);
  answer.planner_epoch = epoch.epoch;
  answer.planner_active = epoch.process == entry->name && entry->duty->holds_duty();
  answer.jobs_freshness = {now - entry->fresh_at, entry->failing};
  for (const auto& each : entries_) answer.entries.push_back(each->name);
  agent->host->Hear(entry->name, answer, now);
  // Documents reach agents at once here; their own outages are tested elsewhere.
  const auto config = entry->config->current();
  answer.config_version = config->version;
  answer.config_text = config->text;
  answer.freshness.age = Duration::zero();
  agent->guard->Hear(answer, now);
}

void PlannerSimulation::StartEntry(Entry* entry) {
  entry->up = true;
  entry->log_cut = false;
  entry->next = 0;
  entry->appends_seen = -1;
  entry->jobs = std::make_unique<JobFold>();
  entry->config = std::make_unique<ConfigFold>();
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
  Pump(entry);
  PlannerOptions options;
  options.zone = kZone;
  options.process = entry->name;
  options.own_zone = entry->name == "entry-0" ? kZone : "zone-b";
  entry->duty = std::make_unique<ZonePlannerService>(
      options, entry->directory.get(), entry->writer.get(), entry->jobs.get(), entry->config.get(),
      entry->runner.get(),
      [entry](std::function<void()> work) { entry->work.push_back(std::move(work)); }, &metrics_);
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
      if (nested_ == 0) KillEntry(entry->name);
      break;
    case 1:
      if (!entry->up && nested_ == 0) StartEntry(entry);
      break;
    case 2:
      entry->paused_until = clock_.Now() + kTick * static_cast<int>(random_() % 300);
      break;
    case 3:
      entry->log_cut = !entry->log_cut;
      break;
    case 4:
      SetLogDown(Chance(0.5));
      break;
    case 5:
      agent->cut.insert(entry->name);
      break;
    case 6:
      agent->cut.clear();
      break;
    case 7:
      agent->up = false;
      break;
    case 8:
      if (!agent->up) StartAgent(agent);
      break;
    default:
      // The machine itself goes, and what ran there with it.
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
      const bool fresh = released_[id.job].insert(id.attempt).second;
      if (fresh && !zone_in_ && now > zone_out_at_ + kZoneOutBound) {
        violations_.push_back(id.job + " started while its zone was out");
      }
    }
  }
  CheckDone(ended);
  std::set<std::string> partial;
  for (const auto& [job, attempts] : running) {
    if (attempts.size() > 1) violations_.push_back("two attempts of " + job + " run at once");
    const auto& [attempt, tasks] = *attempts.begin();
    if (tasks + ended[job][attempt] >= jobs_[job].tasks) continue;
    partial.insert(job);
    const Time since = partial_since_.try_emplace(job, now).first->second;
    if (now - since > kPartialBound) violations_.push_back("part of " + job + " ran on alone");
  }
  std::erase_if(partial_since_, [&](const auto& each) { return partial.count(each.first) == 0; });
  for (const auto& [job, attempts] : released_) {
    if (jobs_[job].repeatable || attempts.size() < 2) continue;
    violations_.push_back(job + " may run once and was released twice");
  }
  if (violations_.size() > kMaxLines) violations_.resize(kMaxLines);
}

void PlannerSimulation::CheckDone(const std::map<std::string, std::map<int64_t, int>>& ended) {
  const bool all_heard = std::all_of(agents_.begin(), agents_.end(), [](const auto& agent) {
    return agent->up && agent->cut.empty();
  });
  for (const auto& [job, attempts] : done_) {
    if (attempts.empty()) continue;
    const auto found = ended.find(job);
    const int64_t newest = *attempts.rbegin();
    const bool whole = found != ended.end() && found->second.count(newest) != 0 &&
                       found->second.at(newest) == jobs_[job].tasks;
    const auto recorded = entries_.front()->jobs->Find(job);
    const bool open = !recorded || recorded->state == JobState::kWaiting;
    if (open && !(whole && all_heard)) result_lost_.insert(job);
  }
  for (const auto& [job, attempts] : ended) {
    for (const auto& [attempt, tasks] : attempts) {
      if (tasks == jobs_[job].tasks) done_[job].insert(attempt);
    }
    if (done_[job].size() > 1 && result_lost_.count(job) == 0) {
      violations_.push_back(job + " was done twice");
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
