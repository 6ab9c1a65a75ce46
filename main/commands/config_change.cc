#include "main/commands/config_change.h"

#include <algorithm>
#include <cstdio>
#include <thread>

#include "core/secret.h"
#include "core/units.h"

namespace turmericshift {
namespace {

constexpr size_t kIdBytes = 16;
constexpr Duration kPollInterval = std::chrono::milliseconds(100);

using Json = nlohmann::json;

std::string ChangeIdFrom(const CommandOptions& options) {
  const std::string given = options.value("change");
  return given.empty() ? RandomHex(kIdBytes) : given;
}

void PrintNames(const char* what, const Json& names) {
  for (const Json& name : names) std::printf(", %s %s", what, name.get<std::string>().c_str());
}

void PrintInForce(const Json& in_force) {
  const Json zones = in_force.value("zones", Json::object());
  for (const auto& [name, zone] : zones.items()) {
    std::printf("  %-20s in force at %d agents and %d entries", name.c_str(),
                zone.value("agents_in_force", 0), zone.value("entries_in_force", 0));
    PrintNames("not at", zone.value("behind", Json::array()));
    PrintNames("silent:", zone.value("silent", Json::array()));
    std::printf("\n");
  }
}

}  // namespace

void ConfigChange::AddOptions(CommandOptions* options, const std::string& default_wait) {
  options->Value("wait", "longest wait until the new version is in force everywhere", default_wait)
      .Value("change", "id of the change; a change sent again under its id takes effect once");
}

Duration ConfigChange::WaitOption(const CommandOptions& options) {
  return ParseDuration(options.value("wait"));
}

ConfigChange::ConfigChange(const CommandOptions& options, ApiClient* client)
    : options_(options), client_(client), id_(ChangeIdFrom(options)) {}

Json ConfigChange::Post(const std::string& path, const std::string& query,
                        const std::string& body) {
  try {
    Json answer =
        client_->Change("POST", path + query + "&wait_ms=0&change=" + UrlEscape(id_), body);
    for (const Json& warning : answer.value("warnings", Json::array())) {
      std::fprintf(stderr, "warning: %s\n", warning.get<std::string>().c_str());
    }
    return answer;
  } catch (const Error& error) {
    if (error.outcome() != Outcome::kUnknown) throw;
    throw Error(
        error.kind(), error.outcome(),
        std::string(error.what()) +
            "\n  the change may already be done or be done later; repeat it with --change " + id_);
  }
}

ExitCode ConfigChange::Finish(const Json& accepted, const std::string& headline, Time now) {
  const Duration wait = WaitOption(options_);
  const bool json = options_.flag("json");
  if (!json || wait > Duration::zero()) {
    std::fprintf(json ? stderr : stdout, "%s\n", headline.c_str());
    std::fflush(stdout);
  }
  const Json in_force = AwaitInForce(accepted, std::min(now + wait, client_->deadline()));
  if (json) {
    Json output = accepted;
    output["in_force"] = in_force;
    std::printf("%s\n", output.dump(2).c_str());
  } else {
    PrintInForce(in_force);
  }
  if (wait == Duration::zero() || InForceAtReportingProcesses(in_force)) return ExitCode::kDone;
  return now + wait > client_->deadline() ? ExitCode::kTimedOut : ExitCode::kFailed;
}

Json ConfigChange::AwaitInForce(const Json& accepted, Time deadline) {
  const std::string version = std::to_string(accepted.value("version", int64_t{0}));
  Json in_force = accepted.value("in_force", Json::object());
  try {
    while (!InForceAtReportingProcesses(in_force) &&
           DefaultClock().Now() + kPollInterval < deadline) {
      std::this_thread::sleep_for(kPollInterval);
      in_force = client_->Read("/v1/config/in-force?version=" + version);
    }
  } catch (const Error& error) {
    std::fprintf(stderr, "version %s was accepted, but where it is in force is not known: %s\n",
                 version.c_str(), error.what());
  }
  return in_force;
}

bool InForceAtReportingProcesses(const Json& in_force) {
  const Json zones = in_force.value("zones", Json::object());
  return !zones.empty() && std::all_of(zones.begin(), zones.end(), [](const Json& zone) {
    return zone.value("behind", Json::array()).empty();
  });
}

}  // namespace turmericshift
