// Client of the entries' HTTP API for the commands. Sends a call to further entries if one does not
// answer, as far as the kind of call allows; see CallPlan.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/http_client.h"
#include "main/commands/call_plan.h"
#include "main/commands/options.h"

namespace turmericshift {

// Adds the options for the entries' addresses, the token, the time limit and JSON output.
void AddApiOptions(CommandOptions* options);

class ApiClient {
 public:
  // Takes entries and token from the options, or from the environment variables
  // TURMERICSHIFT_ENTRIES (space-separated "IP:port") and TURMERICSHIFT_TOKEN_FILE where an option
  // is empty. The command starts at `now` and must end within `--timeout`, which defaults to 30 s
  // plus `extra`. Throws Error(kInvalidInput) if neither an option nor its variable is set.
  ApiClient(const CommandOptions& options, Time now, Duration extra = Duration::zero());
  // Calls the entries of another environment, with addresses and token file given directly.
  // `entries` is a space-separated list of "IP:port".
  ApiClient(const std::string& entries, const std::string& token_file, Time deadline);

  // Returns the answer's JSON. Throws the Error that an entry answered with, kUnavailable with
  // outcome not_run if no entry could be reached, and kDeadlineExceeded if no entry answered in
  // time.
  nlohmann::json Read(const std::string& path);
  // As Read, for an idempotent change: it takes effect once, however often it is sent.
  nlohmann::json Change(const std::string& method, const std::string& path,
                        const std::string& body = "");
  // As Read, but returns the complete HTTP reply and uses the given limits. Adds the URL and the
  // token to `call`.
  HttpReply Perform(HttpCall call, const std::string& path, CallKind kind, CallLimits limits);

  // Time at which the command must end.
  Time deadline() const { return deadline_; }
  // Time without an answer after which the call is sent to further entries as well.
  void SetHedgeDelay(Duration hedge_delay) { hedge_delay_ = hedge_delay; }

 private:
  struct ReplyQueue;
  class EntryCall;

  nlohmann::json CallJson(const std::string& method, const std::string& path,
                          const std::string& body, CallKind kind);
  // Prints on standard error which entries have not answered yet.
  void ReportUnanswered(const CallPlan& plan, const std::string& request) const;

  std::vector<std::string> entries_;
  std::string token_;
  Time deadline_;
  Duration hedge_delay_ = CallLimits().hedge_delay;
  // Index of the entry that answered last; the next call is sent to it first.
  size_t preferred_entry_ = 0;
};

// Percent-encodes `text` for use as one segment of a URL's path or query.
std::string UrlEscape(const std::string& text);

}  // namespace turmericshift
