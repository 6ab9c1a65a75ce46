// turmericshift demo: runs a deployment's document, gang jobs, a request, and taking a zone out and
// in again, all in this process.
#include <cstdio>
#include <nlohmann/json.hpp>
#include <thread>

#include "core/http_client.h"
#include "core/logging.h"
#include "core/secret.h"
#include "main/commands.h"
#include "main/dev_cluster.h"
#include "main/dev_document.h"

namespace turmericshift {
namespace {

constexpr size_t kTokenBytes = 16;
constexpr Duration kStepTimeout = std::chrono::seconds(30);
constexpr Duration kPollInterval = std::chrono::milliseconds(50);

struct Client {
  std::string url;
  std::string token;

  nlohmann::json Call(const std::string& method, const std::string& path,
                      const std::string& body = "") const {
    HttpCall call;
    call.method = method;
    call.url = url + path;
    call.body = body;
    call.headers = {{"Authorization", "Bearer " + token}};
    const HttpReply reply = PerformHttp(call);
    if (reply.status >= 400) {
      throw Error(ErrorKind::kUnavailable, method + " " + path + ": " + reply.body);
    }
    return nlohmann::json::parse(reply.body, nullptr, false);
  }
};

// Polls until `condition` returns true. Throws Error(kDeadlineExceeded) with the message `what`
// after kStepTimeout.
template <typename Condition>
void Await(const std::string& what, Condition condition) {
  const Time deadline = DefaultClock().Now() + kStepTimeout;
  while (!condition()) {
    if (DefaultClock().Now() > deadline) throw Error(ErrorKind::kDeadlineExceeded, what);
    std::this_thread::sleep_for(kPollInterval);
  }
}

void SubmitAndAwait(const Client& caller, const std::string& workspace, const std::string& key,
                    int tasks, int accelerators) {
  const nlohmann::json job = {{"key", key},         {"workspace", workspace},
                              {"tasks", tasks},     {"accelerators", accelerators},
                              {"processors", 2},    {"memory", "4GiB"},
                              {"payload", "300ms"}, {"declared_run_time", "1s"}};
  const Time begun = DefaultClock().Now();
  caller.Call("POST", "/v1/jobs", job.dump());
  nlohmann::json shown;
  Await("job " + key + " did not end", [&] {
    shown = caller.Call("GET", "/v1/jobs/" + key);
    return shown.at("state") == "done" || shown.at("state") == "failed";
  });
  std::printf("  job %-14s %d tasks of %d accelerators: %s in %s after %.2f s\n", key.c_str(),
              tasks, accelerators, shown.at("state").get<std::string>().c_str(),
              shown.at("zone").get<std::string>().c_str(), Seconds(DefaultClock().Now() - begun));
}

}  // namespace

ExitCode RunDemo(const Args& args) {
  CommandOptions command("demo", "run sample jobs and requests of a deployment in this process",
                         "[DOCUMENT]", "turmericshift demo examples/potkocsi/environment.ini");
  if (!command.Parse(args, 0, 1)) return ExitCode::kDone;
  // Standard output shows the demo's steps; the log goes to standard error.
  InitLogging("turmericshift", {"demo", "demo", ""});
  const DevDocument document =
      ReadDevDocument(command.operands().empty() ? kDefaultDevDocument : command.operands()[0]);
  const Environment environment = ParseEnvironment("document", document.text);
  const std::string workspace = environment.workspaces.begin()->first;
  const std::string service = environment.services.begin()->first;
  const std::string token = document.tokens.at(workspace);
  DevOptions options;
  options.environment_text = document.text;
  options.operator_token = RandomHex(kTokenBytes);
  DevCluster cluster(options);
  std::printf("%s: %zu entries, %zu agents with a worker and a target each\n",
              environment.deployment.c_str(), cluster.entries().size(), cluster.agents().size());

  const Client operators{cluster.OperatorUrl(0), options.operator_token};
  const Client caller{cluster.CallerUrl(1), token};
  operators.Call("POST", "/v1/config?parent=0&author=demo", options.environment_text);
  const auto in_force = [&](int64_t version) {
    for (const DevAgent& agent : cluster.agents()) {
      if (agent.server->guard().config_version() < version) return false;
    }
    return true;
  };
  const Time published = DefaultClock().Now();
  Await("the document was not in force at all agents in time", [&] { return in_force(1); });
  std::printf("  document version 1 in force at every agent after %.2f s\n",
              Seconds(DefaultClock().Now() - published));
  Await("the entry was not ready in time", [&] { return cluster.entries()[1].server->ready(); });

  SubmitAndAwait(caller, workspace, "weekly-boxes", 2, 4);
  SubmitAndAwait(caller, workspace, "recipe-batch", 2, 8);
  const std::string answer =
      PerformHttp({"POST",
                   caller.url + "/v1/services/" + service + "/plan",
                   {{"Authorization", "Bearer " + token}, {"Idempotency-Key", "order-1"}},
                   "which pouch is next?"})
          .body;
  std::printf("  request answered: '%s'\n", answer.c_str());

  const std::string zone = cluster.entries()[0].zone;
  operators.Call("POST", "/v1/zones/" + zone + "/out?author=demo");
  Await("taking the zone out was not in force at all agents in time", [&] { return in_force(2); });
  std::printf("  availability zone %s is out\n", zone.c_str());
  SubmitAndAwait(caller, workspace, "while-out", 1, 8);
  operators.Call("POST", "/v1/zones/" + zone + "/in?author=demo");
  Await("taking the zone in was not in force at all agents in time", [&] { return in_force(3); });
  std::printf("  availability zone %s is in again\n", zone.c_str());
  SubmitAndAwait(caller, workspace, "after-return", 1, 8);
  std::printf("all done\n");
  return ExitCode::kDone;
}

}  // namespace turmericshift
