#include "servers/entry/request_router.h"

#include <utility>

#include "core/digest.h"
#include "core/error.h"
#include "core/logging.h"

namespace turmericshift {
namespace {

constexpr Duration kClaimTimeout = std::chrono::seconds(3);
constexpr Duration kResolveTimeout = std::chrono::seconds(1);
constexpr Duration kRecordTimeout = std::chrono::seconds(5);
// Larger answers are not kept with the outcome; a repeated key is then told that it ran.
constexpr size_t kMaxRecordedBody = size_t{16} * 1024;

Duration TimeLeft(Time deadline) { return deadline - DefaultClock().Now(); }

void RequireTimeLeft(Time deadline) {
  if (TimeLeft(deadline) <= Duration::zero()) {
    throw Error(ErrorKind::kDeadlineExceeded, Outcome::kNotRun, "the deadline has passed");
  }
}

ServiceAnswer AnswerFromRecord(const ServiceRequest& request, const RequestEnded& ended) {
  if (Digest(ended.body) != ended.body_digest) {
    throw Error(ErrorKind::kConflict, Outcome::kRan,
                "the request has run; its answer was too large to keep");
  }
  ServiceAnswer answer;
  answer.request_id = request.request_id;
  answer.status = ended.status;
  answer.body = ended.body;
  answer.body_digest = ended.body_digest;
  return answer;
}

}  // namespace

RequestRouter::RequestRouter(const RouterOptions& options, std::unique_ptr<RoutingPolicy> policy,
                             AgentDirectory* directory, StreamClient* requests,
                             const RequestFold* fold, MetricsRegistry* metrics)
    : options_(options),
      policy_(std::move(policy)),
      directory_(directory),
      requests_(requests),
      fold_(fold),
      retries_(&metrics->counter("router_retries")),
      latency_(&metrics->distribution("router_request_seconds")) {}

ServiceAnswer RequestRouter::Route(const ServiceRequest& request) {
  const Time begun = DefaultClock().Now();
  const Time deadline = begun + request.time_left;
  ServiceAnswer answer = request.idempotency_key.empty() ? RouteRepeatable(request, deadline)
                                                         : RouteOnce(request, deadline);
  latency_->Record(Seconds(DefaultClock().Now() - begun));
  return answer;
}

ServiceAnswer RequestRouter::RouteRepeatable(const ServiceRequest& request, Time deadline) {
  for (int attempt = 1;; ++attempt) {
    RequireTimeLeft(deadline);
    const AgentState agent = Choose(request.service);
    try {
      return SendTo(agent, request, deadline);
    } catch (const Error& error) {
      const bool again = error.outcome() == Outcome::kNotRun && AnswerFor(error.kind()).retryable;
      if (!again || attempt >= options_.max_attempts) throw;
      retries_->Add();
    }
  }
}

ServiceAnswer RequestRouter::RouteOnce(ServiceRequest request, Time deadline) {
  if (fold_->Find(request.workspace, request.idempotency_key)) {
    return FollowClaim(request, deadline);
  }
  const AgentState agent = Choose(request.service);
  RequestClaimed claim;
  claim.id = NewRecordId();
  claim.workspace = request.workspace;
  claim.key = request.idempotency_key;
  claim.service = request.service;
  claim.body_digest = request.body_digest;
  claim.agent = agent.hello.process;
  claim.incarnation = agent.hello.incarnation;
  claim.wall_ms = DefaultClock().WallMillis();
  Written written;
  try {
    written = requests_->Write(claim, std::min<Duration>(kClaimTimeout, TimeLeft(deadline)));
  } catch (const Error& error) {
    // Even if the claim lands later, this entry never forwards it, and nobody else will: whoever
    // finds it asks the agent, who then promises never to run it.
    throw Error(error.kind(), Outcome::kNotRun, error.what());
  }
  if (!written.verdict.accepted) return FollowClaim(request, deadline);
  request.attempt = claim.attempt;
  request.fence = written.sequence;
  ServiceAnswer answer = SendTo(agent, request, deadline);
  RecordEnd(request, answer);
  return answer;
}

ServiceAnswer RequestRouter::FollowClaim(const ServiceRequest& request, Time deadline) {
  const std::optional<RequestState> state = fold_->Find(request.workspace, request.idempotency_key);
  if (!state) throw Error(ErrorKind::kInternal, "the claim has gone");
  if (state->claim.body_digest != request.body_digest || state->claim.service != request.service) {
    throw Error(ErrorKind::kConflict, Outcome::kNotRun,
                "the idempotency key was used for another request");
  }
  if (state->ended) return AnswerFromRecord(request, *state->ended);
  const AgentState agent = directory_->Find(state->claim.agent);
  if (!agent.port || agent.hello.incarnation != state->claim.incarnation) {
    throw Error(ErrorKind::kConnectionLost, Outcome::kUnknown,
                "the target that owns this key can't be asked");
  }
  const SeenAnswer seen = agent.port->Resolve(
      {request.workspace, request.idempotency_key, state->claim.attempt, state->fence},
      std::min<Duration>(kResolveTimeout, TimeLeft(deadline)));
  switch (seen.state) {
    case SeenState::kRan:
      RecordEnd(request, seen.answer);
      return seen.answer;
    case SeenState::kNeverWillRun:
      throw Error(ErrorKind::kUnavailable, Outcome::kNotRun,
                  "the first attempt was lost before it ran; use a new key");
    case SeenState::kRunning:
      throw Error(ErrorKind::kConflict, Outcome::kUnknown, "the first attempt is still running");
    case SeenState::kUnknown:
      break;
  }
  throw Error(ErrorKind::kConnectionLost, Outcome::kUnknown,
              "nobody knows whether the first attempt ran");
}

ServiceAnswer RequestRouter::SendTo(const AgentState& agent, ServiceRequest request,
                                    Time deadline) {
  request.time_left = TimeLeft(deadline);
  const std::string& name = agent.hello.process;
  directory_->AddOutstanding(name, 1);
  const Time begun = DefaultClock().Now();
  try {
    ServiceAnswer answer = agent.port->Serve(request);
    directory_->AddOutstanding(name, -1);
    directory_->Answered(name, answer.load);
    const Time now = DefaultClock().Now();
    policy_->Observe(name, now - begun, true, now);
    // Crossed or cut answers are told apart by id and digest, never by order.
    if (answer.request_id != request.request_id || Digest(answer.body) != answer.body_digest) {
      throw Error(ErrorKind::kAnswerCut, Outcome::kRan, "the answer did not arrive whole");
    }
    return answer;
  } catch (const Error&) {
    const Time now = DefaultClock().Now();
    directory_->AddOutstanding(name, -1);
    policy_->Observe(name, now - begun, false, now);
    throw;
  }
}

AgentState RequestRouter::Choose(const std::string& service) {
  const Time now = DefaultClock().Now();
  const std::vector<TargetCandidate> candidates =
      directory_->Candidates(service, now, options_.silence);
  if (candidates.empty()) {
    throw Error(ErrorKind::kUnavailable, "no target of service '" + service + "' is known");
  }
  const size_t chosen = policy_->Choose(candidates, options_.own_zone, now);
  const AgentState agent = directory_->Find(candidates[chosen].agent);
  if (!agent.port) throw Error(ErrorKind::kUnavailable, "the chosen target has just gone");
  return agent;
}

void RequestRouter::RecordEnd(const ServiceRequest& request, const ServiceAnswer& answer) {
  RequestEnded ended;
  ended.id = NewRecordId();
  ended.workspace = request.workspace;
  ended.key = request.idempotency_key;
  ended.attempt = request.attempt == 0 ? 1 : request.attempt;
  ended.status = answer.status;
  ended.body_digest = answer.body_digest;
  if (answer.body.size() <= kMaxRecordedBody) ended.body = answer.body;
  try {
    requests_->Write(ended, kRecordTimeout);
  } catch (const Error& error) {
    // The answer is whole and the caller gets it; a repeat asks the agent instead of the log.
    LogEvent(LogLevel::kWarning, "outcome_not_recorded", {{"error", error.what()}});
  }
}

}  // namespace turmericshift
