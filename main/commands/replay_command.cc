#include "main/commands/replay_command.h"

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

#include "main/commands/options.h"
#include "servers/entry/entry_server.h"
#include "servers/replay/expectation_check.h"

namespace turmericshift {
namespace {

constexpr size_t kMaxFiles = 10000;

// Result of replaying one trace.
struct ReplayReport {
  Trace trace;
  ReplayResult result;
  std::vector<ExpectationResult> checks;

  bool AllHold() const {
    for (const ExpectationResult& check : checks) {
      if (!check.holds) return false;
    }
    return true;
  }
};

ReplayReport ReplayFile(const std::string& path, const std::string& policy) {
  ReplayReport report;
  report.trace = ParseTrace(path, ReadFileText(path));
  report.result = Replayer(report.trace, policy).Run();
  report.checks = CheckExpectations(report.trace, report.result);
  return report;
}

void PrintReport(const ReplayReport& report) {
  std::printf("%s: %s\n", report.trace.name.c_str(), report.trace.why.c_str());
  for (const Measure& measure : report.result.measures) {
    std::printf("  %-24s %.6g\n", measure.name.c_str(), measure.value);
  }
  bool shown = false;
  for (const ExpectationResult& check : report.checks) {
    std::printf("  %s  %s (%s)\n", check.holds ? "holds   " : "VIOLATED",
                DescribeExpectation(check.expectation).c_str(), check.found.c_str());
    if (check.holds || shown) continue;
    shown = true;
    std::printf("    line %d; the events around it:\n", check.expectation.line);
    for (const HistoryEvent& event : check.evidence) std::printf("    %s\n", event.text.c_str());
  }
}

nlohmann::json ReportJson(const ReplayReport& report) {
  nlohmann::json measures = nlohmann::json::object();
  for (const Measure& measure : report.result.measures) measures[measure.name] = measure.value;
  nlohmann::json checks = nlohmann::json::array();
  for (const ExpectationResult& check : report.checks) {
    checks.push_back({{"line", check.expectation.line},
                      {"expectation", DescribeExpectation(check.expectation)},
                      {"holds", check.holds},
                      {"found", check.found}});
  }
  return {{"trace", report.trace.name}, {"measures", measures}, {"expectations", checks}};
}

void WriteLines(const std::vector<std::string>& lines, const std::string& path) {
  std::ofstream out(path);
  for (const std::string& line : lines) out << line << "\n";
  if (!out) throw Error(ErrorKind::kInvalidInput, "can't write " + path);
}

}  // namespace

ExitCode RunReplay(const Args& args) {
  CommandOptions options(
      "replay", "replay traces through the decision code and check their expectations", "FILE…",
      "turmericshift replay --policy first_fit tests/traces/potkocsi-day.jsonl");
  options.Flag("json", "print the results as JSON")
      .Value("policy", "placement policy", EntryOptions().placement_policy)
      .Value("record", "write the history of the one trace to this file, as log lines");
  if (!options.Parse(args, 1, kMaxFiles)) return ExitCode::kDone;
  const std::string record = options.value("record");
  const std::vector<std::string>& files = options.operands();
  if (!record.empty() && files.size() != 1) {
    throw Error(ErrorKind::kInvalidInput, "--record takes exactly one trace");
  }
  bool all_hold = true;
  nlohmann::json json = nlohmann::json::array();
  for (const std::string& file : files) {
    const ReplayReport report = ReplayFile(file, options.value("policy"));
    all_hold = all_hold && report.AllHold();
    if (options.flag("json")) {
      json.push_back(ReportJson(report));
    } else {
      PrintReport(report);
    }
    if (!record.empty()) WriteLines(report.result.lines, record);
  }
  if (options.flag("json")) std::printf("%s\n", json.dump(2).c_str());
  return all_hold ? ExitCode::kDone : ExitCode::kFailed;
}

}  // namespace turmericshift
