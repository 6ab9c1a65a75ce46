// turmericshift config check|publish|promote|show|history
#include <cstdio>
#include <thread>

#include "core/digest.h"
#include "core/units.h"
#include "main/commands.h"
#include "main/commands/api_client.h"
#include "servers/config/environment.h"

namespace turmericshift {
namespace {

constexpr const char* kConfigPath = "/v1/config";

void PrintVersion(const nlohmann::json& version) {
  std::printf("version %lld  digest %s  by %s\n",
              static_cast<long long>(version.value("version", 0)),  // NOLINT(google-runtime-int)
              version.value("digest", "").c_str(), version.value("author", "").c_str());
}

void Print(const CommandOptions& options, const nlohmann::json& answer) {
  if (options.flag("json")) {
    std::printf("%s\n", answer.dump(2).c_str());
    return;
  }
  if (!answer.is_array()) return PrintVersion(answer);
  for (const nlohmann::json& version : answer) PrintVersion(version);
}

ExitCode Check(const Words& words) {
  CommandOptions options("config check", "check environment documents; needs no entry", "FILE…",
                         "turmericshift config check examples/potkocsi/environment.ini");
  if (!options.Parse(words, 1, 1000)) return ExitCode::kDone;
  for (const std::string& path : options.operands()) {
    const std::string text = ReadFileText(path);
    const Environment environment = ParseEnvironment(path, text);
    std::printf("%s: no problem found; deployment %s, %zu zones, %zu workspaces, digest %s\n",
                path.c_str(), environment.deployment.c_str(), environment.zones.size(),
                environment.workspaces.size(), Digest(text).c_str());
  }
  return ExitCode::kDone;
}

// The version that the present one has; 0 before the first.
int64_t PresentVersion(const ApiClient& client) {
  try {
    return client.Call("GET", kConfigPath).value("version", int64_t{0});
  } catch (const Error& error) {
    if (error.kind() == ErrorKind::kNotFound) return 0;
    throw;
  }
}

ExitCode Publish(const Words& words) {
  CommandOptions options("config publish", "publish a document as the next version", "FILE",
                         "turmericshift config publish --author ilona environment.ini");
  AddApiOptions(&options);
  options.Value("author", "who publishes", "operator")
      .Value("parent", "version that the document was made from; default: the present one");
  if (!options.Parse(words, 1, 1)) return ExitCode::kDone;
  const std::string text = ReadFileText(options.operands()[0]);
  ParseEnvironment(options.operands()[0], text);
  const ApiClient client(options);
  const std::string parent = options.value("parent").empty()
                                 ? std::to_string(PresentVersion(client))
                                 : options.value("parent");
  Print(options, client.Call("POST",
                             std::string(kConfigPath) + "?parent=" + UrlEscape(parent) +
                                 "&author=" + UrlEscape(options.value("author")),
                             text));
  return ExitCode::kDone;
}

ExitCode Show(const Words& words) {
  CommandOptions options("config show", "print the document in force", "",
                         "turmericshift config show > environment.ini");
  AddApiOptions(&options);
  if (!options.Parse(words, 0, 0)) return ExitCode::kDone;
  const nlohmann::json answer = ApiClient(options).Call("GET", kConfigPath);
  if (options.flag("json")) {
    Print(options, answer);
  } else {
    std::printf("%s", answer.value("text", "").c_str());
  }
  return ExitCode::kDone;
}

ExitCode History(const Words& words) {
  CommandOptions options("config history", "list the versions, oldest first", "",
                         "turmericshift config history --json");
  AddApiOptions(&options);
  if (!options.Parse(words, 0, 0)) return ExitCode::kDone;
  Print(options, ApiClient(options).Call("GET", std::string(kConfigPath) + "/history"));
  return ExitCode::kDone;
}

}  // namespace

ExitCode RunConfig(const Words& words) {
  static const std::vector<Command> commands = {{"check", "check documents", &Check},
                                                {"publish", "publish a document", &Publish},
                                                {"show", "print the document in force", &Show},
                                                {"history", "list the versions", &History}};
  return Dispatch("turmericshift config", commands, words);
}

}  // namespace turmericshift
