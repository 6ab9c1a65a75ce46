// turmericshift config check|publish|promote|show|history
#include <cstdio>

#include "core/digest.h"
#include "core/units.h"
#include "main/commands.h"
#include "main/commands/api_client.h"
#include "main/commands/config_change.h"
#include "servers/config/environment.h"
#include "servers/config/guarantee_check.h"

namespace turmericshift {
namespace {

constexpr const char* kConfigPath = "/v1/config";

std::string VersionLine(const nlohmann::json& version) {
  return "version " + std::to_string(version.value("version", int64_t{0})) + "  digest " +
         version.value("digest", "") + "  by " + version.value("author", "");
}

ExitCode Check(const Args& args) {
  CommandOptions options("config check", "check environment documents; needs no entry", "FILE…",
                         "turmericshift config check examples/potkocsi/environment.ini");
  if (!options.Parse(args, 1, 1000)) return ExitCode::kDone;
  for (const std::string& path : options.operands()) {
    const std::string text = ReadFileText(path);
    const Environment environment = ParseEnvironment(path, text);
    const GuaranteeReport report = CheckGuarantees(environment);
    for (const std::string& warning : report.warnings) {
      std::fprintf(stderr, "%s: warning: %s\n", path.c_str(), warning.c_str());
    }
    RequireGuarantees(path, report);
    std::printf("%s: no problem found; deployment %s, %zu zones, %zu workspaces, digest %s\n",
                path.c_str(), environment.deployment.c_str(), environment.zones.size(),
                environment.workspaces.size(), Digest(text).c_str());
  }
  return ExitCode::kDone;
}

// Number of the current version; 0 if no document has been published.
int64_t CurrentVersion(ApiClient* client) {
  try {
    return client->Read(kConfigPath).value("version", int64_t{0});
  } catch (const Error& error) {
    if (error.kind() == ErrorKind::kNotFound) return 0;
    throw;
  }
}

// Builds the query string of a publication from the options that `publish` and `promote` share.
std::string PublishQuery(const CommandOptions& options, ApiClient* client) {
  const std::string parent = options.value("parent").empty()
                                 ? std::to_string(CurrentVersion(client))
                                 : options.value("parent");
  std::string query =
      "?parent=" + UrlEscape(parent) + "&author=" + UrlEscape(options.value("author"));
  if (!options.value("zone-states").empty()) {
    query += "&zone_states=" + UrlEscape(options.value("zone-states"));
  }
  return query;
}

ExitCode PostAndFinish(const CommandOptions& options, ApiClient* client, const std::string& query,
                       const std::string& text) {
  ConfigChange change(options, client);
  const nlohmann::json answer = change.Post(kConfigPath, query, text);
  return change.Finish(answer, VersionLine(answer), DefaultClock().Now());
}

ExitCode Publish(const Args& args) {
  CommandOptions options("config publish", "publish a document as the next version", "FILE",
                         "turmericshift config publish --author ilona environment.ini");
  AddApiOptions(&options);
  options.Value("author", "name of the author", "operator")
      .Value("parent", "version that the document was made from; default: the current one");
  options.Value("zone-states", "replace: the document may change zones' states; keep: it may not");
  ConfigChange::AddOptions(&options, "0s");
  if (!options.Parse(args, 1, 1)) return ExitCode::kDone;
  const std::string text = ReadFileText(options.operands()[0]);
  ParseEnvironment(options.operands()[0], text);
  ApiClient client(options, DefaultClock().Now(), ConfigChange::WaitOption(options));
  return PostAndFinish(options, &client, PublishQuery(options, &client), text);
}

ExitCode Promote(const Args& args) {
  CommandOptions options(
      "config promote", "publish the document that another environment has in force, byte for byte",
      "",
      "turmericshift config promote --from-entries 10.1.0.5:8081 "
      "--from-token-file trial.token --entries 10.2.0.5:8081 "
      "--token-file production.token --author ilona");
  AddApiOptions(&options);
  options.Value("author", "name of the author", "operator")
      .Value("parent", "version that the new one follows; default: the current one")
      .Value("from-entries", "entries of the environment to promote from")
      .Value("from-token-file", "file that holds that environment's operator token");
  options.Value("zone-states", "replace: the document may change zones' states; keep: it may not",
                "keep");
  ConfigChange::AddOptions(&options, "0s");
  if (!options.Parse(args, 0, 0)) return ExitCode::kDone;
  ApiClient client(options, DefaultClock().Now(), ConfigChange::WaitOption(options));
  ApiClient source(options.value("from-entries"), options.value("from-token-file"),
                   client.deadline());
  const nlohmann::json source_config = source.Read(kConfigPath);
  const std::string version = std::to_string(source_config.value("version", int64_t{0}));
  const nlohmann::json statement =
      source.Read(std::string(kConfigPath) + "/statement?version=" + version);
  const std::string query = PublishQuery(options, &client) + "&trial_version=" + version +
                            "&trial_proof=" + UrlEscape(statement.value("proof", ""));
  return PostAndFinish(options, &client, query, source_config.value("text", ""));
}

ExitCode Show(const Args& args) {
  CommandOptions options("config show", "print the document in force", "",
                         "turmericshift config show > environment.ini");
  AddApiOptions(&options);
  options.Value("version", "an earlier version; default: the one in force");
  if (!options.Parse(args, 0, 0)) return ExitCode::kDone;
  const std::string version = options.value("version");
  const std::string path = version.empty() ? "" : "/versions/" + UrlEscape(version);
  const nlohmann::json answer = ApiClient(options, DefaultClock().Now()).Read(kConfigPath + path);
  if (options.flag("json")) {
    std::printf("%s\n", answer.dump(2).c_str());
  } else {
    std::printf("%s", answer.value("text", "").c_str());
  }
  return ExitCode::kDone;
}

ExitCode History(const Args& args) {
  CommandOptions options("config history", "list the versions, oldest first", "",
                         "turmericshift config history --json");
  AddApiOptions(&options);
  if (!options.Parse(args, 0, 0)) return ExitCode::kDone;
  const nlohmann::json history =
      ApiClient(options, DefaultClock().Now()).Read(std::string(kConfigPath) + "/history");
  if (options.flag("json")) {
    std::printf("%s\n", history.dump(2).c_str());
    return ExitCode::kDone;
  }
  for (const nlohmann::json& version : history) std::printf("%s\n", VersionLine(version).c_str());
  return ExitCode::kDone;
}

}  // namespace

ExitCode RunConfig(const Args& args) {
  static const std::vector<Command> commands = {
      {"check", "check documents", &Check},
      {"publish", "publish a document", &Publish},
      {"promote", "publish another environment's document", &Promote},
      {"show", "print the document in force", &Show},
      {"history", "list the versions", &History}};
  return Dispatch("turmericshift config", commands, args);
}

}  // namespace turmericshift
