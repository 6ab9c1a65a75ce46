// The command line's side of an entry's HTTP API. Gets past entries that do not answer, as far as
// the kind of call allows; see CallPlan.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/http_client.h"
#include "main/commands/call_plan.h"
#include "main/commands/options.h"

namespace turmericshift {

// Adds the options that say where to ask, as whom and how long.
void AddApiOptions(CommandOptions* options);

class ApiClient {
 public:
  // From the options, or from the environment variables TURMERICSHIFT_ENTRIES (space-separated
  // "IP:port") and TURMERICSHIFT_TOKEN_FILE where an option is empty. `now`: the command's begin;
  // it ends `--timeout` later, or 30 s and `extra` later.
  // Throws Error(kInvalidInput) when neither says.
  ApiClient(const CommandOptions& options, Time now, Duration extra = Duration::zero());
  // The entries and the token of another environment, named outright.
  ApiClient(const std::string& entries, const std::string& token_file, Time until);

  // The answer's JSON. Throws the Error that an entry answered with, kUnavailable with outcome
  // not_run when no entry could be reached, kDeadlineExceeded when none has answered in time.
  nlohmann::json Read(const std::string& path);
  // As Read, for a change that takes effect once, however often it is sent.
  nlohmann::json Change(const std::string& method, const std::string& path,
                        const std::string& body = "");
  // As Read, with the whole answer and limits of the caller's own. The URL and the token are added
  // to `call`.
  HttpReply Perform(HttpCall call, const std::string& path, CallKind kind, CallLimits limits);

  // The command is over then.
  Time until() const { return until_; }
  // Silence after which more entries are asked.
  void SetPatience(Duration patience) { patience_ = patience; }

 private:
  struct Answers;

  nlohmann::json CallJson(const std::string& method, const std::string& path,
                          const std::string& body, CallKind kind);
  void Ask(const std::shared_ptr<Answers>& answers, size_t entry, const HttpCall& call,
           const std::string& path, Duration left) const;
  // Tells the user who is asked and silent.
  void TellSilence(const CallPlan& plan, const std::string& what) const;

  std::vector<std::string> entries_;
  std::string token_;
  Time until_;
  Duration patience_ = CallLimits().patience;
  // The entry that answered last; the next call begins there.
  size_t first_ = 0;
};

// `text` as one segment of a URL's path or query.
std::string UrlEscape(const std::string& text);

}  // namespace turmericshift
