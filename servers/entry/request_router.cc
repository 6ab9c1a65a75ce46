#include "servers/entry/request_router.h"

#include <algorithm>
#include <random>
#include <set>
#include <thread>
#include <utility>

#include "core/error.h"

namespace turmericshift {
namespace {

constexpr Duration kBaseBackoff = std::chrono::milliseconds(4);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(200);

// Exponential backoff with full jitter, a random time up to a bound that doubles with each attempt,
// so that callers that failed together do not retry together.
Duration Backoff(int attempt) {
  thread_local std::mt19937_64 random(std::random_device{}());
  const Duration bound = std::min(kBaseBackoff * (1 << std::min(attempt, 10)), kMaxBackoff);
  return Duration(std::uniform_int_distribution<int64_t>(0, bound.count())(random));
}

// Whether the answer was lost in transit, as opposed to a failure of the target.
bool IsLostAnswer(ErrorKind kind) {
  return kind == ErrorKind::kConnectionLost || kind == ErrorKind::kAnswerCut ||
         kind == ErrorKind::kDeadlineExceeded;
}

}  // namespace

RequestRouter::RequestRouter(const RouterOptions& options, std::unique_ptr<RoutingPolicy> policy,
                             AgentDirectory* directory, StreamClient* requests,
                             const ReplicatedRequests* replicated_requests,
                             const ReplicatedConfig* config, MetricsRegistry* metrics)
    : options_(options),
      config_(config),
      retries_(&metrics->counter("router_retries")),
      latency_(&metrics->distribution("router_request_seconds")),
      budget_(options.budget),
      sender_(options.sender, std::move(policy), directory, metrics),
      idempotent_(&sender_, &budget_, requests, replicated_requests, metrics) {}

ServiceAnswer RequestRouter::Route(const ServiceRequest& request, int64_t key_first_used_ms) {
  const Time begun = DefaultClock().Now();
  const Time deadline = begun + request.time_left;
  budget_.Earn();
  ServiceAnswer answer = request.idempotency_key.empty()
                             ? RouteRepeatable(request, deadline)
                             : idempotent_.Route(request, key_first_used_ms, deadline);
  answer.request_id = request.request_id;
  latency_->Record(Seconds(DefaultClock().Now() - begun));
  return answer;
}

ServiceAnswer RequestRouter::RouteRepeatable(const ServiceRequest& request, Time deadline) {
  std::set<std::string> tried;
  // Once an attempt may have run, a later refusal must not report the whole request as not run.
  Outcome worst = Outcome::kNotRun;
  for (int attempt = 1;; ++attempt) {
    RequireTimeLeft(deadline, DefaultClock().Now(), worst);
    try {
      const AgentState agent = sender_.Choose(request.service, tried, true);
      tried.insert(agent.hello.process);
      ServiceRequest message = request;
      message.request_id = AttemptRequestId(request.request_id, attempt);
      return sender_.Deliver(agent, message, deadline);
    } catch (const Error& error) {
      if (error.outcome() != Outcome::kNotRun) worst = error.outcome();
      if (PrepareRetry(request.service, error, attempt, deadline)) continue;
      if (error.outcome() == worst) throw;
      throw Error(error.kind(), worst, error.what());
    }
  }
}

bool RequestRouter::PrepareRetry(const std::string& service, const Error& error, int attempt,
                                 Time deadline) {
  const bool not_run = error.outcome() == Outcome::kNotRun && ErrorInfoFor(error.kind()).retryable;
  const bool lost =
      error.outcome() == Outcome::kUnknown && IsLostAnswer(error.kind()) && Repeatable(service);
  if ((!not_run && !lost) || attempt >= options_.max_attempts) return false;
  const Duration pause = Backoff(attempt);
  if (DefaultClock().Now() + pause >= deadline) return false;
  if (!budget_.Spend()) return false;
  retries_->Add();
  std::this_thread::sleep_for(pause);
  return true;
}

bool RequestRouter::Repeatable(const std::string& service) const {
  const auto current = config_ == nullptr ? nullptr : config_->current();
  if (!current) return false;
  const ServiceSpec* spec = current->environment->FindService(service);
  return spec != nullptr && spec->repeatable;
}

Duration RequestRouter::RetryAfter(const std::string& service, const Error& error) const {
  if (!ErrorInfoFor(error.kind()).retryable) return Duration::zero();
  return sender_.RetryAfter(service);
}

}  // namespace turmericshift
