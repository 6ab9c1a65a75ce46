#include "servers/explain/job_explainer.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <istream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>

namespace turmericshift {
namespace {

using nlohmann::json;

struct OutcomeName {
  JobOutcome outcome;
  const char* name;
};

constexpr std::array<OutcomeName, 7> kOutcomeNames = {{
    {JobOutcome::kCompleted, "completed"},
    {JobOutcome::kFailed, "failed"},
    {JobOutcome::kCancelled, "cancelled"},
    {JobOutcome::kRefused, "refused"},
    {JobOutcome::kUnknownToCaller, "unknown to the caller"},
    {JobOutcome::kUnfinished, "unfinished"},
    {JobOutcome::kNotSeen, "not seen"},
}};

// Waiting for room, or a slow worker of a job that is not late, is given as the cause only if the
// job lost more time by it than this.
constexpr int64_t kLongWaitMs = 1000;
constexpr int64_t kMillisPerSecond = 1000;

constexpr const char* kWithdrawn =
    "its record was withdrawn before it was sent, since the store did not answer";

// Returns whether the field is in every line or is shown separately from the details.
bool IsCommon(const std::string& field) {
  static const std::set<std::string> common = {"time_ms", "level", "event", "role",
                                               "process", "zone",  "job"};
  return common.count(field) > 0;
}

std::string TextOf(const json& line, const char* field) {
  const auto found = line.find(field);
  return found != line.end() && found->is_string() ? found->get<std::string>() : "";
}

bool FlagOf(const json& line, const char* field) {
  const auto found = line.find(field);
  return found != line.end() && found->is_boolean() && found->get<bool>();
}

double NumberOf(const json& line, const char* field) {
  const auto found = line.find(field);
  return found != line.end() && found->is_number() ? found->get<double>() : 0;
}

std::string Details(const json& line) {
  std::string details;
  for (const auto& [field, value] : line.items()) {
    if (IsCommon(field)) continue;
    details += (details.empty() ? "" : " ") + field + "=" +
               (value.is_string() ? value.get<std::string>() : value.dump());
  }
  return details;
}

std::string Counted(int count, const char* what) {
  return std::to_string(count) + " " + what + (count == 1 ? "" : "s");
}

}  // namespace

const char* JobOutcomeName(JobOutcome outcome) {
  for (const OutcomeName& row : kOutcomeNames) {
    if (row.outcome == outcome) return row.name;
  }
  return "";
}

void JobExplainer::Read(std::istream& lines) {
  std::string text;
  while (std::getline(lines, text)) {
    const size_t brace = text.find('{');
    if (brace == std::string::npos) continue;
    const json line = json::parse(text.substr(brace), nullptr, false);
    if (!line.is_object()) continue;
    const int64_t time_ms = static_cast<int64_t>(NumberOf(line, "time_ms"));
    if (TextOf(line, "event") == "worker_speed") {
      speeds_[TextOf(line, "node")][time_ms] = NumberOf(line, "time_factor");
    }
    if (TextOf(line, "job").empty()) continue;
    loss_report_.ReadLine(line);
    Entry entry;
    entry.line.time_ms = time_ms;
    entry.line.process = TextOf(line, "process");
    entry.line.event = TextOf(line, "event");
    entry.line.details = Details(line);
    entry.job = TextOf(line, "job");
    entry.how = TextOf(line, "how");
    entry.state = TextOf(line, "state");
    entry.reason = TextOf(line, "reason");
    entry.asked = FlagOf(line, "asked");
    entry.not_run = FlagOf(line, "not_run");
    entries_.push_back(std::move(entry));
  }
}

std::vector<std::string> JobExplainer::jobs() const {
  std::set<std::string> names;
  for (const Entry& entry : entries_) names.insert(entry.job);
  return {names.begin(), names.end()};
}

double JobExplainer::TimeFactorAt(const std::string& worker, int64_t time_ms) const {
  const auto lines = speeds_.find(worker);
  if (lines == speeds_.end()) return 1;
  const auto next = lines->second.upper_bound(time_ms);
  return next == lines->second.begin() ? 1 : std::prev(next)->second;
}

std::string JobExplainer::SlowestWorkerOf(const SlowRun& run) const {
  // A member with about the same factor as the run's own worker did not delay it.
  constexpr double kSlower = 1.1;
  std::string slowest = run.workers.front();
  double factor = TimeFactorAt(slowest, run.ended_ms);
  for (const std::string& worker : run.workers) {
    const double other = TimeFactorAt(worker, run.ended_ms);
    if (other <= kSlower * factor) continue;
    slowest = worker;
    factor = other;
  }
  if (run.workers.size() == 1 || factor > kSlower) return "worker " + slowest;
  // No line tells which member is slow.
  std::string names;
  for (const std::string& worker : run.workers) names += (names.empty() ? "" : ", ") + worker;
  return "worker, one of " + names;
}

std::string JobExplainer::SlowWorkerCause(const std::string& job, bool completed) const {
  const std::optional<JobLoss> loss = loss_report_.LossOf(job);
  const std::optional<SlowRun> run = loss_report_.SlowestRunOf(job);
  if (!loss || !run || loss->cause.first != DelayCause::kSlowWorker) return "";
  const bool late = completed && !loss->in_time;
  if (!late && loss->seconds * kMillisPerSecond <= kLongWaitMs) return "";
  std::ostringstream cause;
  cause << std::fixed << "it was delayed most by a slow " << SlowestWorkerOf(*run)
        << ": its run took " << std::setprecision(2) << run->time_factor
        << " times as long as on a typical worker and lost " << std::setprecision(1) << run->seconds
        << " s";
  return cause.str();
}

JobExplanation JobExplainer::Explain(const std::string& job) const {
  JobExplanation explanation;
  explanation.job = job;
  bool accepted = false;
  bool unknown_to_caller = false;
  int64_t accepted_at = 0;
  int64_t first_placed = 0;
  std::string ended;
  std::string refusal;
  std::vector<const Entry*> entries;
  for (const Entry& entry : entries_) {
    if (entry.job == job) entries.push_back(&entry);
  }
  // Lines of one process keep their order; between VMs the clocks differ only a little.
  std::stable_sort(entries.begin(), entries.end(), [](const Entry* left, const Entry* right) {
    return left->line.time_ms < right->line.time_ms;
  });
  for (const Entry* entry : entries) {
    explanation.lines.push_back(entry->line);
    const std::string& event = entry->line.event;
    if (event == "job_accepted" && !accepted) {
      accepted = true;
      accepted_at = entry->line.time_ms;
    } else if (event == "job_not_accepted" || event == "job_refused") {
      ++explanation.refusals;
      if (event == "job_not_accepted" && !entry->not_run) unknown_to_caller = true;
      if (!entry->reason.empty()) refusal = entry->reason;
    } else if (event == "submission_withdrawn") {
      ++explanation.withdrawals;
    } else if (event == "run_placed") {
      ++explanation.runs;
      if (first_placed == 0) first_placed = entry->line.time_ms;
    } else if (event == "run_ended") {
      explanation.failed_runs += entry->how == "failed";
      explanation.stopped_runs += entry->how == "stopped";
      explanation.lost_runs +=
          entry->how == "lapsed" || entry->how == "broken" || entry->how == "alone";
    } else if (event == "job_ended") {
      ended = entry->state;
    }
  }
  if (entries.empty()) {
    explanation.cause = "no line names the job; it never reached an entry whose log was read";
    return explanation;
  }
  if (ended == "completed") explanation.outcome = JobOutcome::kCompleted;
  if (ended == "failed") explanation.outcome = JobOutcome::kFailed;
  if (ended == "cancelled") explanation.outcome = JobOutcome::kCancelled;
  if (ended.empty()) {
    explanation.outcome = accepted || explanation.runs > 0 ? JobOutcome::kUnfinished
                          : unknown_to_caller              ? JobOutcome::kUnknownToCaller
                                                           : JobOutcome::kRefused;
  }
  const int64_t waited = first_placed - accepted_at;
  const bool withdrawn = explanation.withdrawals > 0 && explanation.runs == 0;
  const std::string slow_worker = SlowWorkerCause(job, ended == "completed");
  switch (explanation.outcome) {
    case JobOutcome::kRefused:
    case JobOutcome::kUnknownToCaller:
      explanation.cause = withdrawn ? kWithdrawn
                          : refusal.empty()
                              ? "the caller's deadline passed before a planner could be reached"
                              : "the planner did not accept it: " + refusal;
      break;
    case JobOutcome::kFailed:
      explanation.cause =
          Counted(explanation.failed_runs, "run") + " failed, the limit of its queue for one task";
      break;
    case JobOutcome::kCancelled:
      explanation.cause = "its caller cancelled it";
      break;
    case JobOutcome::kCompleted:
    case JobOutcome::kUnfinished:
      if (!slow_worker.empty()) {
        explanation.cause = slow_worker;
      } else if (explanation.stopped_runs + explanation.lost_runs + explanation.failed_runs > 0) {
        explanation.cause = "it was delayed by " + Counted(explanation.stopped_runs, "run") +
                            " stopped by preemption, " + std::to_string(explanation.lost_runs) +
                            " lost with their worker or gang, " +
                            std::to_string(explanation.failed_runs) + " failed";
      } else if (accepted && first_placed > 0 && waited > kLongWaitMs) {
        explanation.cause = "it waited " + std::to_string(waited) + " ms for room";
      } else if (withdrawn) {
        explanation.cause = kWithdrawn;
      } else if (accepted && first_placed == 0) {
        explanation.cause = "it got no room within the time of these lines";
      } else {
        explanation.cause = "it was not delayed";
      }
      break;
    case JobOutcome::kNotSeen:
      break;
  }
  return explanation;
}

}  // namespace turmericshift
