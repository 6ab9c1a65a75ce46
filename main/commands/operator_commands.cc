// turmericshift zone out|in|show, status, token, version
#include <cstdio>

#include "core/secret.h"
#include "main/commands.h"
#include "main/commands/api_client.h"
#include "main/commands/config_change.h"
#include "servers/config/environment.h"

namespace turmericshift {
namespace {

constexpr const char* kVersion = "0.1.0";
constexpr size_t kTokenBytes = 24;

ExitCode SetZone(const std::string& state, const Args& args) {
  CommandOptions options("zone " + state, "take an availability zone " + state, "ZONE",
                         "turmericshift zone " + state + " --author ilona buda-a");
  AddApiOptions(&options);
  options.Value("author", "name of the operator", "operator");
  ConfigChange::AddOptions(&options, "5s");
  if (!options.Parse(args, 1, 1)) return ExitCode::kDone;
  const std::string& zone = options.operands()[0];
  ApiClient client(options, DefaultClock().Now(), ConfigChange::WaitOption(options));
  ConfigChange change(options, &client);
  const nlohmann::json answer = change.Post("/v1/zones/" + UrlEscape(zone) + "/" + state,
                                            "?author=" + UrlEscape(options.value("author")), "");
  const std::string headline = "availability zone " + zone + " is " + state + " as of version " +
                               std::to_string(answer.value("version", 0));
  return change.Finish(answer, headline, DefaultClock().Now());
}

ExitCode ZoneOut(const Args& args) { return SetZone("out", args); }
ExitCode ZoneIn(const Args& args) { return SetZone("in", args); }

ExitCode ZoneShow(const Args& args) {
  CommandOptions options("zone show", "list the availability zones", "", "turmericshift zone show");
  AddApiOptions(&options);
  if (!options.Parse(args, 0, 0)) return ExitCode::kDone;
  const nlohmann::json config = ApiClient(options, DefaultClock().Now()).Read("/v1/config");
  const Environment environment = ParseEnvironment("document in force", config.value("text", ""));
  nlohmann::json zones = nlohmann::json::object();
  for (const auto& [name, zone] : environment.zones) zones[name] = zone.in ? "in" : "out";
  if (options.flag("json")) {
    std::printf("%s\n", zones.dump(2).c_str());
    return ExitCode::kDone;
  }
  for (const auto& [name, zone] : environment.zones) {
    std::printf("%-20s %-4s %d workers\n", name.c_str(), zone.in ? "in" : "out", zone.workers);
  }
  return ExitCode::kDone;
}

}  // namespace

ExitCode RunZone(const Args& args) {
  static const std::vector<Command> commands = {{"out", "take a zone out", &ZoneOut},
                                                {"in", "bring a zone back", &ZoneIn},
                                                {"show", "list the zones", &ZoneShow}};
  return Dispatch("turmericshift zone", commands, args);
}

ExitCode RunStatus(const Args& args) {
  CommandOptions options("status", "show an entry's state and its agents", "",
                         "turmericshift status --json");
  AddApiOptions(&options);
  if (!options.Parse(args, 0, 0)) return ExitCode::kDone;
  const nlohmann::json status = ApiClient(options, DefaultClock().Now()).Read("/v1/status");
  if (options.flag("json")) {
    std::printf("%s\n", status.dump(2).c_str());
    return ExitCode::kDone;
  }
  std::printf("entry %s in %s: %s, configuration version %d, log %s\n",
              status.value("process", "").c_str(), status.value("zone", "").c_str(),
              status.value("ready", false) ? "ready" : "not ready",
              status.value("config_version", 0),
              status.value("log_failing", false) ? "unreachable" : "reachable");
  for (const nlohmann::json& agent : status.value("agents", nlohmann::json::array())) {
    std::printf("  agent %-24s zone %-12s version %d, %d requests, %d tasks%s\n",
                agent.value("agent", "").c_str(), agent.value("zone", "").c_str(),
                agent.value("config_version", 0), agent.value("running", 0),
                agent.value("tasks", 0), agent.value("leaving", false) ? ", leaving" : "");
  }
  return ExitCode::kDone;
}

ExitCode RunToken(const Args& args) {
  CommandOptions options(
      "token", "generate a token for a token file, and its hash for the environment document", "",
      "turmericshift token");
  options.Flag("json", "print JSON").Value("of", "print the hash of the token in this file");
  if (!options.Parse(args, 0, 0)) return ExitCode::kDone;
  if (!options.value("of").empty()) {
    const std::vector<std::string> lines = ReadFileLines(options.value("of"));
    if (lines.empty()) throw Error(ErrorKind::kInvalidInput, "the file holds no token");
    std::printf("%s\n", HashToken(lines.front()).c_str());
    return ExitCode::kDone;
  }
  const std::string token = RandomHex(kTokenBytes);
  const std::string hash = HashToken(token);
  if (options.flag("json")) {
    std::printf("%s\n", nlohmann::json({{"token", token}, {"hash", hash}}).dump().c_str());
  } else {
    std::printf("token %s\nhash  %s\n", token.c_str(), hash.c_str());
  }
  return ExitCode::kDone;
}

ExitCode RunVersion(const Args& args) {
  CommandOptions options("version", "print the version", "", "turmericshift version");
  if (!options.Parse(args, 0, 0)) return ExitCode::kDone;
  std::printf("turmericshift %s\n", kVersion);
  return ExitCode::kDone;
}

}  // namespace turmericshift
