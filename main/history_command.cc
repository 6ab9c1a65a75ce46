#include "main/history_command.h"

#include <cstdio>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "core/units.h"
#include "main/option_parser.h"
#include "servers/history/history_check.h"

namespace turmericshift {
namespace {

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

Duration DurationOr(const cxxopts::ParseResult& parsed, const char* option, Duration otherwise) {
  return parsed.count(option) == 0 ? otherwise : ParseDuration(parsed[option].as<std::string>());
}

}  // namespace

ExitCode RunCheckHistory(const Words& words) {
  cxxopts::Options options("turmericshift check-history");
  options.add_options()("files", "", cxxopts::value<std::vector<std::string>>())("json", "")(
      "zone-out", "", cxxopts::value<std::string>())("partial-gang", "",
                                                     cxxopts::value<std::string>())(
      "reclaim", "", cxxopts::value<std::string>())("job-silence", "",
                                                    cxxopts::value<std::string>());
  const cxxopts::ParseResult parsed = ParseOptions(&options, words, "files");
  HistoryBounds bounds;
  bounds.zone_out = DurationOr(parsed, "zone-out", bounds.zone_out);
  bounds.partial_gang = DurationOr(parsed, "partial-gang", bounds.partial_gang);
  bounds.reclaim = DurationOr(parsed, "reclaim", bounds.reclaim);
  bounds.job_silence = DurationOr(parsed, "job-silence", bounds.job_silence);
  const History history = ReadHistoryFiles(RequireFiles(parsed, "files"));
  const std::vector<CheckResult> results = CheckHistory(history, bounds);
  if (parsed.count("json") != 0) {
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
