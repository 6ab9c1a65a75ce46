// turmericshift explain: explains the outcome of a job from the log lines of the processes.
#include <cstdio>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "main/commands.h"
#include "servers/explain/job_explainer.h"

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

}  // namespace

ExitCode RunExplain(const Args& args) {
  CommandOptions options("explain", "explain the outcome of a job from log lines",
                         "JOB|all [LOG...]", "turmericshift explain 5c0e7a21d94b36f8 entry-*.log");
  options.Flag("json", "print the result as JSON");
  if (!options.Parse(args, 1, 1000)) return ExitCode::kDone;
  JobExplainer explainer;
  const Args& operands = options.operands();
  if (operands.size() == 1) explainer.Read(std::cin);
  for (size_t i = 1; i < operands.size(); ++i) {
    std::ifstream file(operands[i]);
    if (!file) throw Error(ErrorKind::kNotFound, "can't read " + operands[i]);
    explainer.Read(file);
  }
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
