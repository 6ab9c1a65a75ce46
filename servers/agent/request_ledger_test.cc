#include "servers/agent/request_ledger.h"

#include <gtest/gtest.h>

#include "core/error.h"

namespace turmericshift {
namespace {

ServiceRequest Keyed(const std::string& key, int attempt, Sequence fence) {
  ServiceRequest request;
  request.request_id = "request-" + key;
  request.workspace = "weekly-boxes";
  request.idempotency_key = key;
  request.attempt = attempt;
  request.fence = fence;
  return request;
}

RequestStatusQuery QueryFor(const ServiceRequest& request) {
  RequestStatusQuery question;
  question.workspace = request.workspace;
  question.idempotency_key = request.idempotency_key;
  question.attempt = request.attempt;
  question.fence = request.fence;
  question.request_id = request.request_id;
  return question;
}

Outcome OutcomeOfBegin(RequestLedger* ledger, const ServiceRequest& request) {
  try {
    ledger->Begin(request, Time{} + std::chrono::hours(1));
  } catch (const Error& error) {
    EXPECT_EQ(error.kind(), ErrorKind::kFenced);
    return error.outcome();
  }
  return Outcome::kRan;
}

// An entry claims a key and pauses before it forwards the request. Another entry finds the claim,
// queries the agent, and runs the request elsewhere. If the first entry then forwarded it, the
// order would be carried out twice.
TEST(RequestLedgerTest, QueriedAttemptNeverRuns) {
  RequestLedger ledger;
  const ServiceRequest late = Keyed("order-1", 1, 10);
  EXPECT_EQ(ledger.Resolve(QueryFor(late), Time{}).state, RequestRunState::kNeverWillRun);
  EXPECT_EQ(OutcomeOfBegin(&ledger, late), Outcome::kNotRun);
  EXPECT_EQ(OutcomeOfBegin(&ledger, Keyed("order-1", 2, 20)), Outcome::kRan);
  EXPECT_EQ(OutcomeOfBegin(&ledger, late), Outcome::kUnknown);
}

// A message is delivered twice, and the second copy arrives after the first was refused for lack of
// a slot. The caller was told "not run", so the second copy must not run.
TEST(RequestLedgerTest, DuplicateOfRefusedRequestIsRefused) {
  RequestLedger ledger;
  ServiceRequest request;
  request.request_id = "request-1.1";
  EXPECT_EQ(OutcomeOfBegin(&ledger, request), Outcome::kRan);
  ledger.MarkNotRun(request);
  EXPECT_EQ(OutcomeOfBegin(&ledger, request), Outcome::kNotRun);
}

// The ledger evicts the oldest attempts. A query about an evicted attempt, or a delayed copy of it,
// must not be taken for a new attempt.
TEST(RequestLedgerTest, EvictedAttemptIsUnknownAndDoesNotRun) {
  LedgerLimits limits;
  limits.max_rows = 4;
  RequestLedger ledger(limits);
  for (int order = 1; order <= 8; ++order) {
    const ServiceRequest request = Keyed("order-" + std::to_string(order), 1, order);
    ASSERT_EQ(OutcomeOfBegin(&ledger, request), Outcome::kRan);
    ledger.Finish(request, ServiceAnswer{});
  }
  EXPECT_EQ(ledger.rows(), 4U);
  const ServiceRequest forgotten = Keyed("order-2", 1, 2);
  EXPECT_EQ(ledger.Resolve(QueryFor(forgotten), Time{}).state, RequestRunState::kUnknown);
  EXPECT_EQ(OutcomeOfBegin(&ledger, forgotten), Outcome::kUnknown);
}

TEST(RequestLedgerTest, EvictedRequestsWithoutKeyAreUnknownByAge) {
  LedgerLimits limits;
  limits.max_rows = 1;
  RequestLedger ledger(limits);
  const Time now = Time{} + std::chrono::hours(1);
  ServiceRequest request;
  for (const char* id : {"a", "b"}) {
    request.request_id = id;
    ledger.Begin(request, now);
    ledger.Finish(request, ServiceAnswer{});
  }
  RequestStatusQuery question;
  question.request_id = "a";
  question.age = std::chrono::seconds(30);
  EXPECT_EQ(ledger.Resolve(question, now + std::chrono::seconds(30)).state,
            RequestRunState::kUnknown);
  question.request_id = "never-sent-before";
  question.age = std::chrono::seconds(1);
  EXPECT_EQ(ledger.Resolve(question, now + std::chrono::seconds(30)).state,
            RequestRunState::kNeverWillRun);
}

}  // namespace
}  // namespace turmericshift
