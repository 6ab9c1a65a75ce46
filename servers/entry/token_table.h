// Finds the owner of a bearer token by the salted hashes in the environment document.
#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include "core/http_server.h"
#include "servers/state/replicated_config.h"

namespace turmericshift {

class TokenTable {
 public:
  explicit TokenTable(const ReplicatedConfig* config);

  // The workspace whose token the request carries. Throws Error(kUnauthenticated), or
  // Error(kStale) before the first document.
  std::string RequireWorkspace(const HttpRequest& request);
  // Throws Error(kUnauthenticated) unless the request carries an operator's token from the document
  // or the `bootstrap` token, which works even before the first document. An empty `bootstrap`
  // accepts no token.
  void RequireOperator(const HttpRequest& request, const std::string& bootstrap) const;

 private:
  const ReplicatedConfig* const config_;
  std::mutex mutex_;
  int64_t cached_version_ = 0;
  // Workspace by keyed hash of the token, so that a token seen before costs one hash instead of one
  // for each salted hash in the document.
  std::unordered_map<std::string, std::string> cache_;
};

}  // namespace turmericshift
