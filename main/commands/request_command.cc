// turmericshift request: sends one request to a service, as a caller would.
#include <algorithm>
#include <cstdio>

#include "core/http_client.h"
#include "core/units.h"
#include "main/commands.h"
#include "main/commands/api_client.h"

namespace turmericshift {
namespace {

// Added to the deadline, so that an entry's own answer that the deadline has passed still arrives.
constexpr Duration kAnswerReserve = std::chrono::seconds(1);

}  // namespace

ExitCode RunRequest(const Args& args) {
  CommandOptions options("request", "send one request to a service and print the answer",
                         "SERVICE PATH",
                         "turmericshift request --key order-1 --body-file order.json "
                         "pouch-box-planner /confirm");
  AddApiOptions(&options);
  options.Value("key", "idempotency key, for requests that must not run twice")
      .Value("body-file", "file that holds the body")
      .Value("deadline", "time limit for the answer", "30s");
  if (!options.Parse(args, 2, 2)) return ExitCode::kDone;
  const std::string& path = options.operands()[1];
  if (path.rfind('/', 0) != 0) throw Error(ErrorKind::kInvalidInput, "PATH must begin with /");
  HttpCall call;
  call.method = "POST";
  call.headers.push_back({"Deadline", options.value("deadline")});
  if (!options.value("key").empty()) {
    call.headers.push_back({"Idempotency-Key", options.value("key")});
  }
  if (!options.value("body-file").empty()) call.body = ReadFileText(options.value("body-file"));
  const Duration deadline = ParseDuration(options.value("deadline"));
  const CallKind kind =
      options.value("key").empty() ? CallKind::kAtMostOnce : CallKind::kIdempotent;
  CallLimits limits;
  limits.timeout = deadline + kAnswerReserve;
  // Waits for half of the deadline, since a request may legitimately take long and a second entry
  // would only wait for the result of the first.
  limits.hedge_delay = deadline / 2;
  ApiClient client(options, DefaultClock().Now(), limits.timeout);
  limits.timeout = std::min(limits.timeout, client.deadline() - DefaultClock().Now());
  const std::string service = "/v1/services/" + UrlEscape(options.operands()[0]);
  const HttpReply reply = client.Perform(call, service + path, kind, limits);
  std::fwrite(reply.body.data(), 1, reply.body.size(), stdout);
  return ExitCode::kDone;
}

}  // namespace turmericshift
