#include "servers/explain/loss_report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <istream>

namespace turmericshift {
namespace {

using nlohmann::json;

struct CauseName {
  DelayCause cause;
  const char* name;
};

constexpr std::array<CauseName, 7> kCauseNames = {{
    {DelayCause::kWaiting, "waiting"},
    {DelayCause::kPreempted, "preempted"},
    {DelayCause::kFailedRuns, "failed runs"},
    {DelayCause::kLostRuns, "lost runs"},
    {DelayCause::kOffRack, "off rack"},
    {DelayCause::kSlowWorker, "slow worker"},
    {DelayCause::kOther, "other"},
}};

constexpr double kMillisPerSecond = 1000;
// A job that takes this many times its due time has no value left for its caller.
constexpr double kWorthlessFactor = 3;

double SecondsBetween(int64_t from_ms, int64_t to_ms) {
  return static_cast<double>(to_ms - from_ms) / kMillisPerSecond;
}

bool IsText(const json& line, const char* field) {
  return line.is_object() && line.contains(field) && line[field].is_string();
}

// Lines of older planners have no time factor. A factor that is not above 0 can't be meant.
double TimeFactorOf(const json& line, double otherwise) {
  const double factor = line.value("time_factor", otherwise);
  return factor > 0 ? factor : otherwise;
}

// "job.occurrence.step.index" without its last part.
std::string StepOf(const std::string& task) { return task.substr(0, task.rfind('.')); }

DelayCause CauseOfEnd(const std::string& how) {
  if (how == "failed") return DelayCause::kFailedRuns;
  return how == "stopped" || how == "done" ? DelayCause::kPreempted : DelayCause::kLostRuns;
}

}  // namespace

const char* DelayCauseName(DelayCause cause) {
  for (const CauseName& row : kCauseNames) {
    if (row.cause == cause) return row.name;
  }
  return "";
}

void LossReport::Read(std::istream& lines) {
  std::string text;
  while (std::getline(lines, text)) {
    const size_t brace = text.find('{');
    if (brace == std::string::npos) continue;
    ReadLine(json::parse(text.substr(brace), nullptr, false));
  }
}

void LossReport::ReadLine(const json& line) {
  if (!IsText(line, "job") || !IsText(line, "event")) return;
  try {
    ApplyLine(line, &jobs_[line["job"]]);
  } catch (const json::exception&) {
    // A foreign line that has the name of an event, but fields of other types.
  }
}

void LossReport::ApplyLine(const json& line, Job* job) {
  const std::string event = line["event"];
  const int64_t at_ms = line.value("time_ms", int64_t{0});
  if (event == "job_accepted") {
    job->queue = line.value("queue", "");
    job->accepted_ms = std::min(at_ms, job->accepted_ms.value_or(at_ms));
  } else if (event == "unit_waits") {
    job->waits.push_back({at_ms, line.value("reason", "")});
  } else if (event == "run_placed") {
    const std::string task = line.value("task", "");
    Run& run = job->runs[RunKeyOf(line)];
    run = {at_ms,
           std::nullopt,
           "",
           line.value("slowdown", 1.0),
           TimeFactorOf(line, 1),
           task,
           StepOf(task),
           line.value("node", "")};
  } else if (event == "run_ended") {
    EndRun(line, line.value("how", ""), at_ms, job);
  } else if (event == "run_given_up") {
    EndRun(line, "lost", at_ms, job);
  } else if (event == "job_ended" && !job->ended_ms) {
    job->ended_ms = at_ms;
    job->state = line.value("state", "");
    job->priority = line.value("priority", 0);
    job->stretch = line.value("stretch", 0.0);
    job->target_s = line.value("target_s", 0.0);
  }
}

void LossReport::EndRun(const json& line, const std::string& how, int64_t at_ms, Job* job) {
  const auto run = job->runs.find(RunKeyOf(line));
  if (run == job->runs.end() || run->second.ended_ms) return;
  run->second.ended_ms = at_ms;
  run->second.how = how;
  // Runs themselves show how fast their worker is, so the factor is better known at the end.
  run->second.time_factor = TimeFactorOf(line, run->second.time_factor);
}

LossReport::RunKey LossReport::RunKeyOf(const json& line) {
  return {line.value("run", int64_t{0}), line.value("task", "")};
}

double LossReport::ChainSeconds(const Job& job) {
  std::map<std::string, double> longest;
  for (const auto& [id, run] : job.runs) {
    if (run.how != "done") continue;
    double& seconds = longest[run.step];
    seconds = std::max(
        seconds, SecondsBetween(run.placed_ms, *run.ended_ms) / (run.slowdown * run.time_factor));
  }
  double chain = 0;
  for (const auto& [step, seconds] : longest) chain += seconds;
  return chain;
}

void LossReport::AddWaits(const Job& job, int64_t first_start_ms, Delays* delays) {
  std::vector<WaitNote> notes = job.waits;
  std::stable_sort(notes.begin(), notes.end(), [](const WaitNote& left, const WaitNote& right) {
    return left.at_ms < right.at_ms;
  });
  int64_t from_ms = *job.accepted_ms;
  std::string reason = "no reason logged";
  for (const WaitNote& note : notes) {
    if (note.at_ms >= first_start_ms) break;
    // The first note is logged in the round in which the unit did not start.
    if (&note != &notes.front()) {
      (*delays)[{DelayCause::kWaiting, reason}] += SecondsBetween(from_ms, note.at_ms);
      from_ms = note.at_ms;
    }
    reason = note.reason;
  }
  const double rest = SecondsBetween(from_ms, first_start_ms);
  if (rest > 0) (*delays)[{DelayCause::kWaiting, reason}] += rest;
}

void LossReport::AddRepeats(const Job& job, Delays* delays) {
  // A run that was not done delays its task until the next run of the task begins. Gangs repeat all
  // tasks together, so only the worst task of each cause counts.
  std::map<std::string, std::vector<std::pair<int64_t, const Run*>>> by_task;
  // The members of a gang share the number of their run: if one fails or is lost, the others are
  // stopped.
  std::map<int64_t, DelayCause> causes;
  for (const auto& [id, run] : job.runs) {
    by_task[run.task].emplace_back(id.first, &run);
    const DelayCause cause = CauseOfEnd(run.how);
    const auto [known, inserted] = causes.emplace(id.first, cause);
    if (!inserted) known->second = std::max(known->second, cause);
  }
  std::map<std::string, Delays> delays_by_task;
  for (const auto& [task, runs] : by_task) {
    for (size_t i = 0; i + 1 < runs.size(); ++i) {
      const LossKey key = {causes.at(runs[i].first), ""};
      const int64_t next_ms = runs[i + 1].second->placed_ms;
      delays_by_task[task][key] += SecondsBetween(runs[i].second->placed_ms, next_ms);
    }
  }
  for (const auto& [task, own] : delays_by_task) {
    for (const auto& [key, seconds] : own) {
      (*delays)[key] = std::max((*delays)[key], seconds);
    }
  }
}

std::set<std::string> LossReport::OtherWorkersOf(const Job& job, const RunKey& key) {
  // Single tasks that were placed together share a number as well, but have the factors of their
  // own workers. Those of a gang differ only by what was learned between the ends of its members.
  constexpr double kSameFactor = 0.1;
  const Run& own = job.runs.at(key);
  std::set<std::string> workers;
  for (const auto& [id, run] : job.runs) {
    if (id.first != key.first || run.step != own.step || run.node == own.node) continue;
    if (std::abs(run.time_factor / own.time_factor - 1) < kSameFactor) workers.insert(run.node);
  }
  return workers;
}

std::vector<SlowRun> LossReport::SlowRunsOf(const Job& job) {
  std::map<std::string, const std::pair<const RunKey, Run>*> last_by_step;
  for (const auto& entry : job.runs) {
    if (entry.second.how != "done") continue;
    const auto*& last = last_by_step[entry.second.step];
    if (last == nullptr || *entry.second.ended_ms > *last->second.ended_ms) last = &entry;
  }
  std::vector<SlowRun> slow_runs;
  for (const auto& [step, last] : last_by_step) {
    const auto& [key, run] = *last;
    if (run.time_factor <= 1) continue;
    const double seconds = SecondsBetween(run.placed_ms, *run.ended_ms);
    SlowRun slow = {
        run.time_factor, seconds - seconds / run.time_factor, *run.ended_ms, {run.node}};
    const std::set<std::string> others = OtherWorkersOf(job, key);
    slow.workers.insert(slow.workers.end(), others.begin(), others.end());
    slow_runs.push_back(std::move(slow));
  }
  return slow_runs;
}

std::optional<SlowRun> LossReport::SlowestRunOf(const std::string& id) const {
  const auto job = jobs_.find(id);
  if (job == jobs_.end()) return std::nullopt;
  std::optional<SlowRun> slowest;
  for (SlowRun& slow : SlowRunsOf(job->second)) {
    if (!slowest || slow.seconds > slowest->seconds) slowest = std::move(slow);
  }
  return slowest;
}

LossReport::Delays LossReport::DelaysOf(const Job& job) {
  Delays delays;
  int64_t first_start_ms = job.ended_ms.value_or(*job.accepted_ms);
  double off_rack = 0;
  for (const auto& [id, run] : job.runs) {
    first_start_ms = std::min(first_start_ms, run.placed_ms);
    if (run.how != "done") continue;
    const double seconds = SecondsBetween(run.placed_ms, *run.ended_ms);
    off_rack = std::max(off_rack, seconds - seconds / run.slowdown);
  }
  AddWaits(job, first_start_ms, &delays);
  AddRepeats(job, &delays);
  if (off_rack > 0) delays[{DelayCause::kOffRack, ""}] = off_rack;
  for (const SlowRun& slow : SlowRunsOf(job)) delays[{DelayCause::kSlowWorker, ""}] += slow.seconds;
  return delays;
}

JobLoss LossReport::LossOf(const Job& job) {
  JobLoss loss;
  const bool completed = job.state == "completed";
  const double due = job.stretch * ChainSeconds(job) + job.target_s;
  const double elapsed = job.ended_ms ? SecondsBetween(*job.accepted_ms, *job.ended_ms) : 0;
  loss.in_time = completed && elapsed <= due;
  loss.lost = !completed || elapsed > kWorthlessFactor * due;
  for (const auto& [key, delay] : DelaysOf(job)) {
    if (delay <= loss.seconds) continue;
    loss.cause = key;
    loss.seconds = delay;
  }
  return loss;
}

std::optional<JobLoss> LossReport::LossOf(const std::string& id) const {
  const auto job = jobs_.find(id);
  if (job == jobs_.end() || !job->second.accepted_ms) return std::nullopt;
  return LossOf(job->second);
}

std::map<std::string, QueueLoss> LossReport::Summarize() const {
  std::map<std::string, QueueLoss> queues;
  for (const auto& [id, job] : jobs_) {
    if (!job.accepted_ms || job.state == "cancelled") continue;
    QueueLoss& queue = queues[job.queue];
    if (job.ended_ms) queue.priority = job.priority;
    queue.completed += job.state == "completed";
    const JobLoss loss = LossOf(job);
    if (loss.in_time) continue;
    ++(loss.lost ? queue.lost : queue.late);
    LossRow& row = queue.causes[loss.cause];
    ++row.jobs;
    row.seconds += loss.seconds;
  }
  return queues;
}

}  // namespace turmericshift
