// turmericshift job submit|show|list|cancel
#include <cstdio>

#include "main/commands.h"
#include "main/commands/api_client.h"
#include "servers/jobs/job.h"

namespace turmericshift {
namespace {

constexpr const char* kJobsPath = "/v1/jobs";

void PrintJob(const nlohmann::json& job) {
  std::printf("%-40s %-10s zone %-12s attempt %d", job.value("job", "").c_str(),
              job.value("state", "").c_str(), job.value("zone", "").c_str(),
              job.value("attempt", 0));
  if (job.contains("waiting_for")) {
    std::printf("  waiting for: %s", job["waiting_for"].get<std::string>().c_str());
  }
  if (job.contains("reason")) std::printf("  %s", job["reason"].get<std::string>().c_str());
  std::printf("\n");
}

void Print(const CommandOptions& options, const nlohmann::json& answer) {
  if (options.flag("json")) {
    std::printf("%s\n", answer.dump(2).c_str());
    return;
  }
  if (!answer.is_array()) return PrintJob(answer);
  for (const nlohmann::json& job : answer) PrintJob(job);
}

ExitCode Submit(const Args& args) {
  CommandOptions options("job submit", "submit a job file (JSON); idempotent", "FILE",
                         "turmericshift job submit --entries 10.0.1.5:8080 weekly-boxes.json");
  AddApiOptions(&options);
  if (!options.Parse(args, 1, 1)) return ExitCode::kDone;
  const std::string text = ReadFileText(options.operands()[0], kMaxJobFileBytes);
  // Validated before sending, so that errors are found without an entry.
  ParseJobSpec(text);
  Print(options, ApiClient(options, DefaultClock().Now()).Change("POST", kJobsPath, text));
  return ExitCode::kDone;
}

ExitCode Show(const Args& args) {
  CommandOptions options("job show", "show a job and why it waits", "KEY",
                         "turmericshift job show weekly-boxes");
  AddApiOptions(&options);
  if (!options.Parse(args, 1, 1)) return ExitCode::kDone;
  const std::string path = std::string(kJobsPath) + "/" + UrlEscape(options.operands()[0]);
  Print(options, ApiClient(options, DefaultClock().Now()).Read(path));
  return ExitCode::kDone;
}

ExitCode List(const Args& args) {
  CommandOptions options("job list", "list the workspace's jobs in order of arrival", "",
                         "turmericshift job list --json");
  AddApiOptions(&options);
  if (!options.Parse(args, 0, 0)) return ExitCode::kDone;
  Print(options, ApiClient(options, DefaultClock().Now()).Read(kJobsPath));
  return ExitCode::kDone;
}

ExitCode Cancel(const Args& args) {
  CommandOptions options("job cancel", "cancel jobs; idempotent", "KEY…",
                         "turmericshift job cancel weekly-boxes recipe-batch");
  AddApiOptions(&options);
  if (!options.Parse(args, 1, 10000)) return ExitCode::kDone;
  ApiClient client(options, DefaultClock().Now());
  for (const std::string& key : options.operands()) {
    Print(options, client.Change("DELETE", std::string(kJobsPath) + "/" + UrlEscape(key)));
  }
  return ExitCode::kDone;
}

}  // namespace

ExitCode RunJob(const Args& args) {
  static const std::vector<Command> commands = {{"submit", "submit a job file", &Submit},
                                                {"show", "show one job", &Show},
                                                {"list", "list jobs", &List},
                                                {"cancel", "cancel jobs", &Cancel}};
  return Dispatch("turmericshift job", commands, args);
}

}  // namespace turmericshift
