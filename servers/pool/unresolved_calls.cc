#include "servers/pool/unresolved_calls.h"

#include <algorithm>

namespace turmericshift::pool {
namespace {

// Callers come again within their deadline of some seconds, and a record that is to be kept is
// within the store's longest outage.
constexpr Duration kRemember = std::chrono::seconds(60);
// Bounds what an outage under load can take up; the oldest go first.
constexpr size_t kMost = 4096;

}  // namespace

void UnresolvedCalls::Note(const std::string& call, Time now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::erase_if(noted_, [now](const auto& row) { return now - row.second > kRemember; });
  noted_[call] = now;
  if (noted_.size() <= kMost) return;
  noted_.erase(std::min_element(
      noted_.begin(), noted_.end(),
      [](const auto& left, const auto& right) { return left.second < right.second; }));
}

bool UnresolvedCalls::Contains(const std::string& call, Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = noted_.find(call);
  return found != noted_.end() && now - found->second <= kRemember;
}

}  // namespace turmericshift::pool
