// turmericshift dev: runs a complete system in this process until SIGTERM.
#include <cstdio>

#include "core/http_client.h"
#include "core/logging.h"
#include "core/secret.h"
#include "core/shutdown.h"
#include "main/commands.h"
#include "main/dev_cluster.h"
#include "main/dev_document.h"

namespace turmericshift {
namespace {

constexpr size_t kTokenBytes = 16;

void PrintAddresses(const DevCluster& cluster, const DevDocument& document,
                    const std::string& operator_token) {
  std::printf("callers:");
  for (size_t index = 0; index < cluster.entry_count(); ++index) {
    std::printf(" %s", cluster.CallerUrl(index).c_str());
  }
  std::printf("\noperators:");
  for (size_t index = 0; index < cluster.entry_count(); ++index) {
    std::printf(" %s", cluster.OperatorUrl(index).c_str());
  }
  std::printf("\noperator token: %s\n", operator_token.c_str());
  for (const auto& [workspace, token] : document.tokens) {
    std::printf("token of workspace %s: %s\n", workspace.c_str(), token.c_str());
  }
  std::fflush(stdout);
}

}  // namespace

ExitCode RunDev(const Args& args) {
  CommandOptions options("dev", "run log, entries, agents, workers and targets in this process",
                         "[DOCUMENT]", "turmericshift dev examples/potkocsi/environment.ini");
  if (!options.Parse(args, 0, 1)) return ExitCode::kDone;
  ShutdownSignal signal;
  InitLogging("turmericshift", {"dev", "dev", ""});
  signal.EndDuringStart();
  const DevDocument document =
      ReadDevDocument(options.operands().empty() ? kDefaultDevDocument : options.operands()[0]);
  DevOptions dev;
  dev.environment_text = document.text;
  dev.operator_token = RandomHex(kTokenBytes);
  signal.BeginServing();
  const DevCluster cluster(dev);
  HttpCall publish;
  publish.method = "POST";
  publish.url = cluster.OperatorUrl(0) + "/v1/config?parent=0&author=dev";
  publish.headers = {{"Authorization", "Bearer " + dev.operator_token}};
  publish.body = document.text;
  const HttpReply reply = PerformHttp(publish);
  if (reply.status >= 400) throw Error(ErrorKind::kInternal, "not published: " + reply.body);
  PrintAddresses(cluster, document, dev.operator_token);
  signal.Wait();
  signal.ExitOnNextSignal();
  return ExitCode::kDone;
}

}  // namespace turmericshift
