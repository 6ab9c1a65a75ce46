// turmericshift request: sends one request to a service, as a caller would.
#include <cstdio>

#include "core/http_client.h"
#include "core/units.h"
#include "main/commands.h"
#include "main/commands/api_client.h"

namespace turmericshift {

ExitCode RunRequest(const Words& words) {
  CommandOptions options("request", "send one request to a service and print the answer",
                         "SERVICE PATH",
                         "turmericshift request --key order-1 --body-file order.json "
                         "pouch-box-planner /confirm");
  AddApiOptions(&options);
  options.Value("key", "idempotency key, for what may not be repeated")
      .Value("body-file", "file that holds the body")
      .Value("deadline", "how long the answer may take", "30s");
  if (!options.Parse(words, 2, 2)) return ExitCode::kDone;
  const std::string& path = options.operands()[1];
  if (path.rfind('/', 0) != 0) throw Error(ErrorKind::kInvalidInput, "PATH begins with /");
  HttpCall call;
  call.method = "POST";
  call.timeout = ParseDuration(options.value("deadline")) + std::chrono::seconds(1);
  call.headers.push_back({"Deadline", options.value("deadline")});
  if (!options.value("key").empty()) {
    call.headers.push_back({"Idempotency-Key", options.value("key")});
  }
  if (!options.value("body-file").empty()) call.body = ReadFileText(options.value("body-file"));
  const HttpReply reply =
      ApiClient(options).Perform(call, "/v1/services/" + UrlEscape(options.operands()[0]) + path);
  std::fwrite(reply.body.data(), 1, reply.body.size(), stdout);
  return ExitCode::kDone;
}

}  // namespace turmericshift
