#include "servers/pool/unresolved_calls.h"

#include <algorithm>

namespace turmericshift::pool {
namespace {

// Callers retry within their deadline of a few seconds, and a record that becomes durable does so
// within the store's longest outage.
constexpr Duration kRetention = std::chrono::seconds(60);
// Bounds the memory used during an outage under load; the oldest calls are dropped first.
constexpr size_t kMaxCalls = 4096;

}  // namespace

void UnresolvedCalls::Record(const std::string& call, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::erase_if(noted_at_, [now](const auto& row) { return now - row.second > kRetention; });
  noted_at_[call] = now;
  if (noted_at_.size() <= kMaxCalls) return;
  noted_at_.erase(std::min_element(
      noted_at_.begin(), noted_at_.end(),
      [](const auto& left, const auto& right) { return left.second < right.second; }));
}

bool UnresolvedCalls::Contains(const std::string& call, Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = noted_at_.find(call);
  return found != noted_at_.end() && now - found->second <= kRetention;
}

}  // namespace turmericshift::pool
