#include "servers/pool/order_sender.h"

#include <gtest/gtest.h>

#include <vector>

namespace turmericshift::pool {
namespace {

// A worker that answers its orders as it is told, one after the other.
class ScriptedWorker : public PoolWorker {
 public:
  explicit ScriptedWorker(const std::vector<OrderAnswer>& answers) : answers_(answers) {}

  OrderAnswer Start(const StartCall& /*call*/, Duration /*timeout*/) override { return Next(); }
  OrderAnswer Stop(const std::string& /*worker_id*/, const RunId& /*run*/, int64_t /*fence*/,
                   Duration /*timeout*/) override {
    return Next();
  }
  HoldAnswer Hold(const HoldCall& /*call*/, Duration /*timeout*/) override { return {}; }
  size_t calls() const { return calls_; }

 private:
  OrderAnswer Next() { return answers_.at(calls_++); }

  const std::vector<OrderAnswer> answers_;
  size_t calls_ = 0;
};

OrderAnswer StartWith(const std::vector<OrderAnswer>& answers) {
  ScriptedWorker worker(answers);
  const OrderAnswer answer = OrderSender(&worker, std::chrono::seconds(1)).Start({});
  EXPECT_EQ(worker.calls(), answers.size());
  return answer;
}

// A worker leaves a start unanswered. Its gang would be stopped for it though all the others run.
TEST(OrderSender, AsksAgainWhereNoAnswerComes) {
  EXPECT_EQ(StartWith({OrderAnswer::kAccepted}), OrderAnswer::kAccepted);
  EXPECT_EQ(StartWith({OrderAnswer::kNoRoom}), OrderAnswer::kNoRoom);
  EXPECT_EQ(StartWith({OrderAnswer::kUnanswered, OrderAnswer::kAccepted}), OrderAnswer::kAccepted);
  EXPECT_EQ(
      StartWith({OrderAnswer::kUnanswered, OrderAnswer::kUnanswered, OrderAnswer::kUnanswered}),
      OrderAnswer::kUnanswered);
}

// The second try finds no room, perhaps because the first one has taken it. "Does not run" would
// have the task started elsewhere as well.
TEST(OrderSender, TakesNoRefusalOfALaterTryForProof) {
  for (const OrderAnswer refusal :
       {OrderAnswer::kNoRoom, OrderAnswer::kStaleRun, OrderAnswer::kExpired, OrderAnswer::kFenced,
        OrderAnswer::kUnhealthy, OrderAnswer::kNotListening}) {
    EXPECT_EQ(StartWith({OrderAnswer::kUnanswered, refusal}), OrderAnswer::kUnanswered);
  }
}

TEST(OrderSender, RepeatsStopsToo) {
  ScriptedWorker worker({OrderAnswer::kUnanswered, OrderAnswer::kAccepted});
  EXPECT_EQ(OrderSender(&worker, std::chrono::seconds(1)).Stop("w", {}, 1), OrderAnswer::kAccepted);
}

}  // namespace
}  // namespace turmericshift::pool
