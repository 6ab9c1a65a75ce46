#include "servers/requests/retry_budget.h"

#include <algorithm>

namespace turmericshift {

void RetryBudget::Earn() {
  const std::lock_guard<std::mutex> lock(mutex_);
  tokens_ = std::min(options_.burst, tokens_ + options_.ratio);
}

bool RetryBudget::Spend() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

}  // namespace turmericshift
