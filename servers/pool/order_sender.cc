#include "servers/pool/order_sender.h"

namespace turmericshift::pool {
namespace {

// If one order in twenty is unanswered, one in eight thousand still is after this many attempts.
constexpr int kMaxAttempts = 3;

template <typename Send>
OrderAnswer SendUntilAnswered(Send&& send) {
  for (int attempt = 1; attempt <= kMaxAttempts; ++attempt) {
    const OrderAnswer answer = send();
    if (answer == OrderAnswer::kUnanswered) continue;
    // Only a refusal of the first attempt proves that nothing was executed.
    return attempt == 1 || answer == OrderAnswer::kAccepted ? answer : OrderAnswer::kUnanswered;
  }
  return OrderAnswer::kUnanswered;
}

}  // namespace

OrderSender::OrderSender(PoolWorker* worker, Duration attempt_timeout)
    : worker_(worker), attempt_timeout_(attempt_timeout) {}

StartAnswer OrderSender::Start(const StartCall& call) const {
  StartAnswer last;
  last.answer = SendUntilAnswered([&] {
    last = worker_->Start(call, attempt_timeout_);
    return last.answer;
  });
  return last;
}

OrderAnswer OrderSender::Stop(const std::string& worker_id, const RunId& run, int64_t fence) const {
  return SendUntilAnswered([&] { return worker_->Stop(worker_id, run, fence, attempt_timeout_); });
}

}  // namespace turmericshift::pool
