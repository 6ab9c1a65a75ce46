#include "main/commands/history_command.h"

#include <cstdio>
#include <nlohmann/json.hpp>

#include "core/units.h"
#include "main/commands/options.h"
#include "servers/history/history_check.h"

namespace turmericshift {
namespace {

constexpr size_t kMaxFiles = 10000;

nlohmann::json ResultJson(const CheckResult& result) {
  nlohmann::json evidence = nlohmann::json::array();
  for (const HistoryEvent& event : result.evidence) {
    evidence.push_back({{"place", event.place}, {"line", event.text}});
  }
  return {{"check", result.check},
          {"verdict", CheckVerdictName(result.verdict)},
          {"message", result.message},
          {"evidence", evidence}};
}

// Returns the option's duration, or `otherwise` if the option is not given.
Duration DurationOr(const CommandOptions& options, const char* name, Duration otherwise) {
  const std::string text = options.value(name);
  return text.empty() ? otherwise : ParseDuration(text);
}

}  // namespace

ExitCode RunCheckHistory(const Args& args) {
  CommandOptions options("check-history",
                         "check the daemons' logs for violations of the system's guarantees",
                         "FILE…", "turmericshift check-history entry.log agent-*.log");
  options.Flag("json", "print the results as JSON")
      .Value("zone-out",
             "longest time after a zone was taken out in which it may still start work (3s)")
      .Value("partial-gang", "longest time that an incomplete gang may run (10s)")
      .Value("reclaim", "longest wait of a job for guaranteed room (30s)")
      .Value("job-silence",
             "time without a log event after which an open job counts as forgotten (24h)");
  if (!options.Parse(args, 1, kMaxFiles)) return ExitCode::kDone;
  HistoryBounds bounds;
  bounds.zone_out = DurationOr(options, "zone-out", bounds.zone_out);
  bounds.partial_gang = DurationOr(options, "partial-gang", bounds.partial_gang);
  bounds.reclaim = DurationOr(options, "reclaim", bounds.reclaim);
  bounds.job_silence = DurationOr(options, "job-silence", bounds.job_silence);
  const History history = ReadHistoryFiles(options.operands());
  const std::vector<CheckResult> results = CheckHistory(history, bounds);
  if (options.flag("json")) {
    nlohmann::json list = nlohmann::json::array();
    for (const CheckResult& result : results) list.push_back(ResultJson(result));
    std::printf("%s\n", list.dump(2).c_str());
  } else {
    std::printf("%zu events, %d lines that are not JSON\n%s", history.events.size(),
                history.unreadable, DescribeResults(results).c_str());
  }
  return AllHeld(results) ? ExitCode::kDone : ExitCode::kFailed;
}

}  // namespace turmericshift
