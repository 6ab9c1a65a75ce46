#include "main/benches/capacity_bench.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <malloc.h>

#include <memory>

#include "core/bench_suite.h"
#include "rpc/convert.h"
#include "rpc/generated/peer.capnp.h"
#include "servers/agent/start_guard.h"
#include "servers/planner/guarantee_split.h"
#include "servers/replay/synthetic_document.h"
#include "servers/state/replicated_jobs.h"

namespace turmericshift {
namespace {

// Size of the deployment that the users state as their long-run requirement.
constexpr int kZones = 8;
constexpr int kWorkersPerZone = 175;
constexpr int kWorkspaces = 230;
constexpr int kTasksPerWorker = 26;
// Jobs of a fortnight at about 1,500 a day, of which some hundreds have not ended.
constexpr int kJobs = 20000;
constexpr int kOpenJobs = 600;
constexpr int kOpenJobsCalls = 20;
constexpr int kHeartbeats = 100000;

double MicrosecondsFor(const Time begun, int count) {
  return 1e6 * Seconds(DefaultClock().Now() - begun) / count;
}

size_t BytesInUse() { return mallinfo2().uordblks; }

DocumentSize LongRunSize() {
  DocumentSize size;
  size.zones = kZones;
  size.workers_per_zone = kWorkersPerZone;
  size.workspaces = kWorkspaces;
  size.guarantee = "4 worker, 2 half";
  size.accelerator_cap = 512;
  return size;
}

JobSubmitted SubmittedRecord(int number) {
  JobSubmitted record;
  record.id = NewRecordId();
  record.spec.key = "nightly-plan-" + std::to_string(number);
  record.spec.workspace = "team-" + std::to_string(number % kWorkspaces);
  record.spec.tasks = 24;
  record.spec.shape = {8, int64_t{16} << 30, 1};
  record.spec.payload = std::string(200, 'x');
  record.zone = "zone-" + std::to_string(number % kZones);
  record.config_version = 1;
  record.wall_ms = 1;
  return record;
}

BenchFigure ExactFigure(const std::string& name, double value, const std::string& unit) {
  BenchFigure figure;
  figure.name = name;
  figure.value = value;
  figure.unit = unit;
  return figure;
}

AgentHeartbeat FullHeartbeat() {
  AgentHeartbeat heartbeat;
  for (int task = 0; task < kTasksPerWorker; ++task) {
    TaskReport report;
    report.id = {"team-100/nightly-plan-" + std::to_string(task), 1, task};
    report.phase = TaskPhase::kRunning;
    report.shape = {8, int64_t{16} << 30, 1};
    heartbeat.tasks.push_back(report);
  }
  return heartbeat;
}

template <typename Wire, typename Message>
double WireBytes(const Message& message) {
  capnp::MallocMessageBuilder builder;
  Write(message, builder.initRoot<Wire>());
  return 8.0 * static_cast<double>(capnp::computeSerializedSizeInWords(builder));
}

class CapacityBench : public BenchSuite {
 public:
  std::string Summary() const override {
    return "bytes and time per job, task, worker and workspace (docs/CAPACITY.md)";
  }

  std::vector<BenchFigure> Run(const BenchOptions& options) override {
    std::vector<BenchFigure> figures;
    AddRecords(&figures);
    AddHeartbeats(options, &figures);
    AddReplicatedJobs(options, &figures);
    AddDocument(options, &figures);
    return figures;
  }

 private:
  static void AddRecords(std::vector<BenchFigure>* figures) {
    const JobSubmitted submitted = SubmittedRecord(1);
    const std::string id = JobId(submitted.spec.workspace, submitted.spec.key);
    const JobEnded ended{NewRecordId(), id, 1, JobState::kDone, "", 1, 1};
    figures->push_back(ExactFigure("job_submitted_record",
                                   static_cast<double>(EncodeRecords({submitted}).size()), "B"));
    figures->push_back(
        ExactFigure("job_ended_record", static_cast<double>(EncodeRecords({ended}).size()), "B"));
  }

  static void AddHeartbeats(const BenchOptions& options, std::vector<BenchFigure>* figures) {
    const AgentHeartbeat empty;
    const AgentHeartbeat full = FullHeartbeat();
    figures->push_back(ExactFigure("agent_beat_idle", WireBytes<wire::AgentBeat>(empty), "B"));
    figures->push_back(ExactFigure("agent_beat_26_tasks", WireBytes<wire::AgentBeat>(full), "B"));
    figures->push_back(
        ExactFigure("entry_beat_unchanged", WireBytes<wire::EntryBeat>(HeartbeatReply()), "B"));
    std::vector<double> encode;
    std::vector<double> handle_reply;
    for (int repeat = 0; repeat < options.repeats; ++repeat) {
      constexpr int kEncodes = 10000;
      const Time begun = DefaultClock().Now();
      for (int heartbeat = 0; heartbeat < kEncodes; ++heartbeat) WireBytes<wire::AgentBeat>(full);
      encode.push_back(MicrosecondsFor(begun, kEncodes));
      StartGuard guard("zone-0");
      HeartbeatReply answer;
      answer.freshness.age = Duration::zero();
      const Time handling_start = DefaultClock().Now();
      for (int i = 0; i < kHeartbeats; ++i) guard.HandleHeartbeatReply(answer, handling_start);
      handle_reply.push_back(MicrosecondsFor(handling_start, kHeartbeats));
    }
    figures->push_back(MachineFigure("agent_beat_encode", "us", encode));
    figures->push_back(MachineFigure("start_guard_hear", "us", handle_reply));
  }

  static void AddReplicatedJobs(const BenchOptions& options, std::vector<BenchFigure>* figures) {
    std::vector<double> bytes;
    std::vector<double> apply;
    std::vector<double> list;
    for (int repeat = 0; repeat < options.repeats; ++repeat) {
      std::vector<Record> records;
      records.reserve(kJobs);
      for (int number = 0; number < kJobs; ++number) records.push_back(SubmittedRecord(number));
      const size_t before = BytesInUse();
      ReplicatedJobs replicated_jobs;
      const Time begun = DefaultClock().Now();
      for (int number = 0; number < kJobs; ++number) replicated_jobs.Apply(records[number], number);
      apply.push_back(MicrosecondsFor(begun, kJobs));
      bytes.push_back(static_cast<double>(BytesInUse() - before) / kJobs);
      for (int number = kOpenJobs; number < kJobs; ++number) {
        const JobSpec& spec = std::get<JobSubmitted>(records[number]).spec;
        JobEnded ended;
        ended.job = JobId(spec.workspace, spec.key);
        replicated_jobs.Apply(ended, kJobs + number);
      }
      const Time list_start = DefaultClock().Now();
      for (int call = 0; call < kOpenJobsCalls; ++call) replicated_jobs.OpenJobs("zone-0");
      list.push_back(MicrosecondsFor(list_start, kOpenJobsCalls));
    }
    figures->push_back(MachineFigure("job_fold_memory_a_job", "B", bytes));
    figures->push_back(MachineFigure("job_fold_apply", "us", apply));
    figures->push_back(MachineFigure("open_jobs_of_a_zone", "us", list));
  }

  static void AddDocument(const BenchOptions& options, std::vector<BenchFigure>* figures) {
    const std::string text = SyntheticDocument(LongRunSize());
    figures->push_back(
        ExactFigure("document_of_230_workspaces", static_cast<double>(text.size()), "B"));
    std::vector<double> parse;
    std::vector<double> split;
    for (int repeat = 0; repeat < options.repeats; ++repeat) {
      const Time begun = DefaultClock().Now();
      const Environment environment = ParseEnvironment("long-run", text);
      parse.push_back(1e3 * Seconds(DefaultClock().Now() - begun));
      const Time split_start = DefaultClock().Now();
      SplitGuarantees(environment);
      split.push_back(1e3 * Seconds(DefaultClock().Now() - split_start));
    }
    figures->push_back(MachineFigure("document_parse", "ms", parse));
    figures->push_back(MachineFigure("guarantee_split", "ms", split));
  }
};

}  // namespace

void RegisterCapacityBench() {
  BenchSuiteRegistry::Instance().Register("capacity",
                                          [] { return std::make_unique<CapacityBench>(); });
}

}  // namespace turmericshift
