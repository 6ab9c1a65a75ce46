#include "servers/requests/idempotent_router.h"

#include <algorithm>
#include <set>
#include <thread>
#include <utility>

#include "core/digest.h"
#include "core/error.h"
#include "core/logging.h"

namespace turmericshift {
namespace {

constexpr Duration kClaimTimeout = std::chrono::seconds(3);
// An older view may miss claims of other entries. A claim would still be rejected if it lost
// against them, but refusing early tells the caller sooner that the log is down.
constexpr Duration kMaxViewAge = std::chrono::seconds(10);
constexpr Duration kRecordOutcomeTimeout = std::chrono::seconds(60);
// An entry that finds the claim of another entry waits this long before it asks the agent about the
// attempt, so that the claim's owner can forward the request first: the question makes the agent
// refuse an attempt that has not arrived.
constexpr Duration kForwardGracePeriod = std::chrono::milliseconds(100);
constexpr Duration kGracePollInterval = std::chrono::milliseconds(5);
constexpr int kMaxRounds = 16;
// Larger answers are not recorded; a repeated request is then told only that it has run.
constexpr size_t kMaxRecordedBody = size_t{16} * 1024;

// Digest of the path, content type and body, to detect a key that is reused for another request.
std::string RequestFingerprint(const ServiceRequest& request) {
  return Digest(request.path + "\n" + request.content_type + "\n" + request.body_digest);
}

void RequireSameRequest(const ServiceRequest& request, const RequestClaimed& claim) {
  if (claim.body_digest == RequestFingerprint(request) && claim.service == request.service) return;
  throw Error(ErrorKind::kConflict, Outcome::kNotRun,
              "the idempotency key was already used for a different request");
}

ServiceAnswer AnswerFromRecord(const ServiceRequest& request, const RequestEnded& ended) {
  if (Digest(ended.body) != ended.body_digest) {
    throw Error(ErrorKind::kConflict, Outcome::kRan,
                "the request has run, but its answer is no longer stored");
  }
  ServiceAnswer answer;
  answer.request_id = request.request_id;
  answer.status = ended.status;
  answer.body = ended.body;
  answer.body_digest = ended.body_digest;
  return answer;
}

[[noreturn]] void ThrowKeyExpired() {
  throw Error(
      ErrorKind::kKeyExpired, Outcome::kUnknown,
      "the idempotency key is older than the retained history; the request is not run again");
}

}  // namespace

IdempotentRouter::IdempotentRouter(TargetSender* sender, RetryBudget* budget,
                                   StreamClient* requests,
                                   const ReplicatedRequests* replicated_requests,
                                   MetricsRegistry* metrics)
    : sender_(sender),
      budget_(budget),
      requests_(requests),
      replicated_requests_(replicated_requests),
      claims_(&metrics->counter("router_claims")),
      followed_(&metrics->counter("router_claims_followed")) {}

ServiceAnswer IdempotentRouter::Route(const ServiceRequest& request, int64_t key_first_used_ms,
                                      Time deadline) {
  for (int round = 0; round < kMaxRounds; ++round) {
    const Time now = DefaultClock().Now();
    RequireTimeLeft(deadline, now, Outcome::kNotRun);
    const std::optional<RequestState> state = FindAfterGracePeriod(request, deadline);
    int attempt = 1;
    if (state) {
      if (state->expired) ThrowKeyExpired();
      RequireSameRequest(request, state->claim);
      if (state->ended) return AnswerFromRecord(request, *state->ended);
      if (!state->never_ran) {
        if (auto answer = FollowClaim(request, *state, deadline)) return std::move(*answer);
      }
      attempt = state->claim.attempt + 1;
    } else {
      RequireKeyRetained(key_first_used_ms);
    }
    RequireFreshView(DefaultClock().Now());
    if (auto answer = ClaimAndDeliver(request, attempt, deadline)) return std::move(*answer);
  }
  // In every round of the loop, either the attempt was proven never to run, or another request
  // claimed the key first.
  throw Error(
      ErrorKind::kUnavailable, Outcome::kUnknown,
      "no attempt for this idempotency key could run; other requests may be claiming the key");
}

std::optional<RequestState> IdempotentRouter::FindAfterGracePeriod(const ServiceRequest& request,
                                                                   Time deadline) const {
  std::optional<RequestState> state =
      replicated_requests_->Find(request.workspace, request.idempotency_key);
  const Time limit = std::min(deadline, DefaultClock().Now() + kForwardGracePeriod);
  while (state && !state->ended && !state->never_ran && !state->expired &&
         DefaultClock().Now() < limit) {
    std::this_thread::sleep_for(kGracePollInterval);
    state = replicated_requests_->Find(request.workspace, request.idempotency_key);
  }
  return state;
}

std::optional<ServiceAnswer> IdempotentRouter::FollowClaim(const ServiceRequest& request,
                                                           const RequestState& state,
                                                           Time deadline) {
  followed_->Add();
  ServiceRequest owner = request;
  owner.attempt = state.claim.attempt;
  owner.fence = state.fence;
  owner.incarnation = state.claim.incarnation;
  try {
    const Time now = DefaultClock().Now();
    ServiceAnswer answer =
        sender_->ResolveOutcome(state.claim.agent, MakeQuestion(owner), now, deadline);
    RecordOutcome(state.claim, answer);
    answer.request_id = request.request_id;
    return answer;
  } catch (const Error& error) {
    if (error.outcome() != Outcome::kNotRun) throw;
    return std::nullopt;
  }
}

std::optional<ServiceAnswer> IdempotentRouter::ClaimAndDeliver(const ServiceRequest& request,
                                                               int attempt, Time deadline) {
  const AgentState agent = sender_->Choose(request.service, {}, false);
  RequestClaimed claim;
  claim.id = NewRecordId();
  claim.workspace = request.workspace;
  claim.key = request.idempotency_key;
  claim.service = request.service;
  claim.body_digest = RequestFingerprint(request);
  claim.attempt = attempt;
  claim.agent = agent.hello.process;
  claim.incarnation = agent.hello.incarnation;
  claim.wall_ms = DefaultClock().WallMillis();
  WriteResult written;
  try {
    claims_->Add();
    const Duration left = deadline - DefaultClock().Now();
    written = requests_->Write(claim, std::min<Duration>(kClaimTimeout, left));
  } catch (const Error& error) {
    // Only the writer of a claim forwards the request, and this writer gives up here, so the
    // request does not run even if the claim is committed later. Another entry that finds the claim
    // asks the agent, which then refuses the attempt for good, so the key stays usable.
    throw Error(error.kind(), Outcome::kNotRun, error.what());
  }
  if (!written.verdict.accepted) return std::nullopt;
  ServiceRequest message = request;
  message.attempt = attempt;
  message.fence = written.sequence;
  try {
    RequireTimeLeft(deadline, DefaultClock().Now(), Outcome::kNotRun);
    ServiceAnswer answer = sender_->Deliver(agent, message, deadline);
    RecordOutcome(claim, answer);
    return answer;
  } catch (const Error& error) {
    // Another entry that found this claim may have asked the agent about the attempt, which makes
    // the agent refuse it, and may be running the next attempt.
    if (error.kind() == ErrorKind::kFenced) return std::nullopt;
    if (error.outcome() != Outcome::kNotRun) throw;
    const auto state = replicated_requests_->Find(request.workspace, request.idempotency_key);
    if (state && state->claim.attempt != attempt) return std::nullopt;
    RecordNeverRan(claim);
    const bool retry = ErrorInfoFor(error.kind()).retryable && budget_->Spend();
    if (!retry) throw;
    return std::nullopt;
  }
}

void IdempotentRouter::RequireFreshView(Time now) const {
  const StreamView view = requests_->view();
  if (view.ever_fresh && now - view.fresh_at <= kMaxViewAge) return;
  throw Error(
      ErrorKind::kLogUnavailable, Outcome::kNotRun,
      "the platform's log can't be read, so this entry may miss claims of this idempotency key");
}

void IdempotentRouter::RequireKeyRetained(int64_t key_first_used_ms) const {
  if (key_first_used_ms != 0 && key_first_used_ms <= replicated_requests_->forgotten_until_ms()) {
    ThrowKeyExpired();
  }
}

void IdempotentRouter::RecordOutcome(const RequestClaimed& claim, const ServiceAnswer& answer) {
  RequestEnded ended;
  ended.id = NewRecordId();
  ended.workspace = claim.workspace;
  ended.key = claim.key;
  ended.attempt = claim.attempt;
  ended.status = answer.status;
  ended.body_digest = answer.body_digest;
  if (answer.body.size() <= kMaxRecordedBody) ended.body = answer.body;
  // The caller does not wait: until the record is durable, a repeated request asks the agent.
  if (requests_->Post(ended, kRecordOutcomeTimeout)) return;
  LogEvent(LogLevel::kWarning, "outcome_not_recorded", {{"key", claim.key}});
}

void IdempotentRouter::RecordNeverRan(const RequestClaimed& claim) {
  RequestEnded ended;
  ended.id = NewRecordId();
  ended.workspace = claim.workspace;
  ended.key = claim.key;
  ended.attempt = claim.attempt;
  ended.status = kNeverRanStatus;
  requests_->Post(ended, kRecordOutcomeTimeout);
}

}  // namespace turmericshift
