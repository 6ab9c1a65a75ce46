#include "servers/entry/token_table.h"

#include <algorithm>

#include "core/error.h"
#include "core/secret.h"

namespace turmericshift {
namespace {

constexpr size_t kMaxCachedTokens = 4096;

std::string BearerToken(const HttpRequest& request) {
  static const std::string kPrefix = "Bearer ";
  const std::string header = request.header("Authorization");
  if (header.rfind(kPrefix, 0) != 0) {
    throw Error(ErrorKind::kUnauthenticated, "send the header 'Authorization: Bearer TOKEN'");
  }
  return header.substr(kPrefix.size());
}

bool MatchesAny(const std::string& token, const std::vector<std::string>& hashes) {
  return std::any_of(hashes.begin(), hashes.end(),
                     [&](const std::string& hash) { return TokenMatches(token, hash); });
}

}  // namespace

TokenTable::TokenTable(const ReplicatedConfig* config) : config_(config) {}

std::string TokenTable::RequireWorkspace(const HttpRequest& request) {
  const std::string token = BearerToken(request);
  const auto current = config_->current();
  if (!current) throw Error(ErrorKind::kStale, "no environment document is in force yet");
  // The cache key is a keyed hash of the token, so that no token stays in memory.
  const std::string cache_key = Prove(token, "token-cache");
  const std::lock_guard<std::mutex> lock(mutex_);
  if (cached_version_ != current->version || cache_.size() > kMaxCachedTokens) {
    cache_.clear();
    cached_version_ = current->version;
  }
  const auto cached = cache_.find(cache_key);
  if (cached != cache_.end()) return cached->second;
  for (const auto& [name, workspace] : current->environment->workspaces) {
    if (!MatchesAny(token, workspace.token_hashes)) continue;
    cache_[cache_key] = name;
    return name;
  }
  throw Error(ErrorKind::kUnauthenticated, "the token belongs to no workspace");
}

void TokenTable::RequireOperator(const HttpRequest& request, const std::string& bootstrap) const {
  const std::string token = BearerToken(request);
  if (!bootstrap.empty() && ProofHolds("operator", token, Prove("operator", bootstrap))) return;
  const auto current = config_->current();
  if (current && MatchesAny(token, current->environment->operator_token_hashes)) return;
  throw Error(ErrorKind::kUnauthenticated, "the token belongs to no operator");
}

}  // namespace turmericshift
