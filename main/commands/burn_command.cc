#include "main/commands/burn_command.h"

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

#include "core/units.h"
#include "main/commands/options.h"
#include "servers/burn/burn_format.h"

namespace turmericshift {
namespace {

constexpr size_t kMaxFiles = 10000;
constexpr double kMaxOnTimeFactor = 1000;

}  // namespace

ExitCode RunReport(const Args& args) {
  if (args.empty() || args[0] != "burn") {
    throw Error(ErrorKind::kInvalidInput, "usage: turmericshift report burn FILE… --document DOC");
  }
  CommandOptions options("report burn", "show the burn rates of the service-level error budgets",
                         "FILE…",
                         "turmericshift report burn --document environment.ini entry-*.log");
  options.Value("document", "environment document that defines the objectives")
      .Value("html", "write the report as an HTML page with plots to this file")
      .Value("on-time-factor",
             "a plan is on time if it ends within this multiple of its declared run time", "2")
      .Flag("json", "print the report as JSON");
  if (!options.Parse(Args(args.begin() + 1, args.end()), 1, kMaxFiles)) return ExitCode::kDone;
  const std::string document = options.value("document");
  if (document.empty()) throw Error(ErrorKind::kInvalidInput, "--document is required");
  BurnOptions burn;
  burn.on_time_factor = ParseNumber(options.value("on-time-factor"), 1, kMaxOnTimeFactor);
  const Environment environment = ParseEnvironment(document, ReadFileText(document));
  const BurnReport report = MakeBurnReport(ReadHistoryFiles(options.operands()), environment, burn);
  if (!options.value("html").empty()) {
    std::ofstream page(options.value("html"));
    page << BurnHtml(report);
    if (!page) throw Error(ErrorKind::kInvalidInput, "can't write " + options.value("html"));
  }
  const std::string text =
      options.flag("json") ? BurnJson(report).dump(2) + "\n" : BurnText(report);
  std::fputs(text.c_str(), stdout);
  return report.alert() ? ExitCode::kFailed : ExitCode::kDone;
}

}  // namespace turmericshift
