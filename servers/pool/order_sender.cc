#include "servers/pool/order_sender.h"

namespace turmericshift::pool {
namespace {

// With one order in twenty unanswered, one in eight thousand still is after so many tries.
constexpr int kTries = 3;

template <typename Send>
OrderAnswer SendUntilAnswered(Send&& send) {
  for (int tries = 1; tries <= kTries; ++tries) {
    const OrderAnswer answer = send();
    if (answer == OrderAnswer::kUnanswered) continue;
    // Only the first try's refusal proves that nothing was done.
    return tries == 1 || answer == OrderAnswer::kAccepted ? answer : OrderAnswer::kUnanswered;
  }
  return OrderAnswer::kUnanswered;
}

}  // namespace

OrderSender::OrderSender(PoolWorker* worker, Duration try_timeout)
    : worker_(worker), try_timeout_(try_timeout) {}

OrderAnswer OrderSender::Start(const StartCall& call) const {
  return SendUntilAnswered([&] { return worker_->Start(call, try_timeout_); });
}

OrderAnswer OrderSender::Stop(const std::string& worker_id, const RunId& run, int64_t fence) const {
  return SendUntilAnswered([&] { return worker_->Stop(worker_id, run, fence, try_timeout_); });
}

}  // namespace turmericshift::pool
