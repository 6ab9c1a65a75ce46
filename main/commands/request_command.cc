// turmericshift request: sends one request to a service, as a caller would.
#include <algorithm>
#include <cstdio>

#include "core/http_client.h"
#include "core/units.h"
#include "main/commands.h"
#include "main/commands/api_client.h"

namespace turmericshift {
namespace {

// For the entry's own answer that the deadline has passed.
constexpr Duration kAnswerReserve = std::chrono::seconds(1);

}  // namespace

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
  call.headers.push_back({"Deadline", options.value("deadline")});
  if (!options.value("key").empty()) {
    call.headers.push_back({"Idempotency-Key", options.value("key")});
  }
  if (!options.value("body-file").empty()) call.body = ReadFileText(options.value("body-file"));
  const Duration deadline = ParseDuration(options.value("deadline"));
  const CallKind kind = options.value("key").empty() ? CallKind::kOnce : CallKind::kRepeatable;
  CallLimits limits;
  limits.total = deadline + kAnswerReserve;
  // A long answer is no silence; the second entry would only follow the first.
  limits.patience = deadline / 2;
  ApiClient client(options, DefaultClock().Now(), limits.total);
  limits.total = std::min(limits.total, client.until() - DefaultClock().Now());
  const std::string service = "/v1/services/" + UrlEscape(options.operands()[0]);
  const HttpReply reply = client.Perform(call, service + path, kind, limits);
  std::fwrite(reply.body.data(), 1, reply.body.size(), stdout);
  return ExitCode::kDone;
}

}  // namespace turmericshift
