// The command line's side of an entry's HTTP API. Goes on to the next entry only when the answer
// proves that nothing was done.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/http_client.h"
#include "main/commands/options.h"

namespace turmericshift {

// Adds the options that say where to ask and as whom.
void AddApiOptions(CommandOptions* options);

class ApiClient {
 public:
  // From the options, or from the environment variables TURMERICSHIFT_ENTRIES (space-separated
  // "IP:port") and TURMERICSHIFT_TOKEN_FILE where an option is empty.
  // Throws Error(kInvalidInput) when neither says.
  explicit ApiClient(const CommandOptions& options);

  // The answer's JSON. Throws the Error that the entry answered with, kUnavailable with outcome
  // not_run when no entry could be reached.
  nlohmann::json Call(const std::string& method, const std::string& path,
                      const std::string& body = "") const;

  // As Call, with the whole answer. The URL and the token are added to `call`.
  HttpReply Perform(HttpCall call, const std::string& path) const;

 private:
  std::vector<std::string> entries_;
  std::string token_;
};

// `text` as one segment of a URL's path or query.
std::string UrlEscape(const std::string& text);

}  // namespace turmericshift
