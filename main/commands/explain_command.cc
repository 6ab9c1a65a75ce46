// turmericshift explain: explains from the log lines of the processes the outcome of a job, or what
// delayed the late jobs of each queue.
#include <cstdio>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "main/commands.h"
#include "servers/explain/job_explainer.h"
#include "servers/explain/loss_report.h"

namespace turmericshift {
namespace {

constexpr const char* kAllJobs = "all";

nlohmann::json ToJson(const JobExplanation& explanation) {
  nlohmann::json lines = nlohmann::json::array();
  for (const JobLogLine& line : explanation.lines) {
    lines.push_back({{"time_ms", line.time_ms},
                     {"process", line.process},
                     {"event", line.event},
                     {"details", line.details}});
  }
  return {{"job", explanation.job},
          {"outcome", JobOutcomeName(explanation.outcome)},
          {"cause", explanation.cause},
          {"runs", explanation.runs},
          {"lines", std::move(lines)}};
}

void PrintSummary(const JobExplanation& explanation) {
  std::printf("%s  %s: %s\n", explanation.job.c_str(), JobOutcomeName(explanation.outcome),
              explanation.cause.c_str());
}

void PrintExplanation(const JobExplanation& explanation) {
  PrintSummary(explanation);
  const int64_t begin = explanation.lines.empty() ? 0 : explanation.lines.front().time_ms;
  for (const JobLogLine& line : explanation.lines) {
    std::printf("  +%.3f s  %-22s %-18s %s\n", static_cast<double>(line.time_ms - begin) / 1000,
                line.process.c_str(), line.event.c_str(), line.details.c_str());
  }
}

void PrintLoss(const std::map<std::string, QueueLoss>& queues) {
  for (const auto& [name, queue] : queues) {
    std::printf("queue %s, priority %d: %d completed, %d late, %d lost\n", name.c_str(),
                queue.priority, queue.completed, queue.late, queue.lost);
    for (const auto& [key, row] : queue.causes) {
      const std::string reason = key.second.empty() ? "" : ": " + key.second;
      const std::string cause = DelayCauseName(key.first) + reason;
      std::printf("  %-34s %4d jobs  %8.1f s\n", cause.c_str(), row.jobs, row.seconds);
    }
  }
}

// Reads the files, or standard input if there are none.
template <typename Report>
void ReadLogs(const Args& files, Report* report) {
  if (files.empty()) report->Read(std::cin);
  for (const std::string& name : files) {
    std::ifstream file(name);
    if (!file) throw Error(ErrorKind::kNotFound, "can't read " + name);
    report->Read(file);
  }
}

}  // namespace

ExitCode RunExplain(const Args& args) {
  CommandOptions options("explain", "explain the outcome of a job from log lines",
                         "JOB|all [LOG...]", "turmericshift explain 5c0e7a21d94b36f8 entry-*.log");
  options.Flag("json", "print the result as JSON");
  options.Flag("loss", "print what delayed the late jobs of each queue; takes no JOB");
  if (!options.Parse(args, 0, 1000)) return ExitCode::kDone;
  const Args& operands = options.operands();
  if (options.flag("loss")) {
    LossReport report;
    ReadLogs(operands, &report);
    PrintLoss(report.Summarize());
    return ExitCode::kDone;
  }
  if (operands.empty()) throw Error(ErrorKind::kInvalidInput, "explain needs a job, or --loss");
  JobExplainer explainer;
  ReadLogs(Args(operands.begin() + 1, operands.end()), &explainer);
  if (operands[0] == kAllJobs) {
    for (const std::string& job : explainer.jobs()) PrintSummary(explainer.Explain(job));
    return ExitCode::kDone;
  }
  const JobExplanation explanation = explainer.Explain(operands[0]);
  if (options.flag("json")) {
    std::printf("%s\n", ToJson(explanation).dump(2).c_str());
  } else {
    PrintExplanation(explanation);
  }
  return explanation.outcome == JobOutcome::kNotSeen ? ExitCode::kFailed : ExitCode::kDone;
}

}  // namespace turmericshift
