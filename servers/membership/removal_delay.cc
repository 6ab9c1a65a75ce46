#include "servers/membership/removal_delay.h"

#include <algorithm>
#include <functional>

namespace turmericshift::membership {
namespace {

// Doubled with each attempt, up to the maximum.
constexpr Duration kFirstDelay = std::chrono::milliseconds(10);
constexpr Duration kMaxDelay = std::chrono::milliseconds(100);
constexpr size_t kSteps = 16;

}  // namespace

Duration RemovalDelay(const std::string& node, int attempt) {
  const Duration least = std::min(kFirstDelay * (int64_t{1} << (attempt - 1)), kMaxDelay);
  const size_t step = std::hash<std::string>()(node + "/" + std::to_string(attempt)) % kSteps;
  return least + 2 * least * static_cast<int64_t>(step) / static_cast<int64_t>(kSteps);
}

}  // namespace turmericshift::membership
