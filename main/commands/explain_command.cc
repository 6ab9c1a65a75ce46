// turmericshift explain: explains the outcome of a job from the log lines of the processes.
#include <cstdio>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "main/commands.h"
#include "servers/explain/job_story.h"

namespace turmericshift {
namespace {

constexpr const char* kAllJobs = "all";

nlohmann::json ToJson(const JobStory& story) {
  nlohmann::json lines = nlohmann::json::array();
  for (const StoryLine& line : story.lines) {
    lines.push_back({{"time_ms", line.time_ms},
                     {"process", line.process},
                     {"event", line.event},
                     {"details", line.details}});
  }
  return {{"job", story.job},
          {"outcome", JobOutcomeName(story.outcome)},
          {"cause", story.cause},
          {"runs", story.runs},
          {"lines", std::move(lines)}};
}

void PrintSummary(const JobStory& story) {
  std::printf("%s  %s: %s\n", story.job.c_str(), JobOutcomeName(story.outcome),
              story.cause.c_str());
}

void PrintStory(const JobStory& story) {
  PrintSummary(story);
  const int64_t begin = story.lines.empty() ? 0 : story.lines.front().time_ms;
  for (const StoryLine& line : story.lines) {
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
  JobStories stories;
  const Args& operands = options.operands();
  if (operands.size() == 1) stories.Read(std::cin);
  for (size_t i = 1; i < operands.size(); ++i) {
    std::ifstream file(operands[i]);
    if (!file) throw Error(ErrorKind::kNotFound, "can't read " + operands[i]);
    stories.Read(file);
  }
  if (operands[0] == kAllJobs) {
    for (const std::string& job : stories.jobs()) PrintSummary(stories.Tell(job));
    return ExitCode::kDone;
  }
  const JobStory story = stories.Tell(operands[0]);
  if (options.flag("json")) {
    std::printf("%s\n", ToJson(story).dump(2).c_str());
  } else {
    PrintStory(story);
  }
  return story.outcome == JobOutcome::kNotSeen ? ExitCode::kFailed : ExitCode::kDone;
}

}  // namespace turmericshift
