// Limits an entry's retries to a fraction of its first attempts (as in the Site Reliability
// Workbook), so that retries can't multiply an overload.
#pragma once

#include <mutex>

namespace turmericshift {

struct RetryBudgetOptions {
  // Tokens earned by each first attempt; each retry spends one token.
  double ratio = 0.2;
  // Maximum number of tokens, which is also the initial number.
  double burst = 20;
};

class RetryBudget {
 public:
  explicit RetryBudget(const RetryBudgetOptions& options = {})
      : options_(options), tokens_(options.burst) {}

  // Credits one first attempt.
  void Earn();
  // Spends one token. Returns false, and no retry may be sent, if less than one token is left.
  bool Spend();

 private:
  const RetryBudgetOptions options_;
  std::mutex mutex_;
  double tokens_;
};

}  // namespace turmericshift
