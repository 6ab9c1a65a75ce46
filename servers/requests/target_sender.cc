#include "servers/requests/target_sender.h"

#include <algorithm>
#include <optional>
#include <thread>
#include <utility>

#include "core/digest.h"
#include "core/error.h"
#include "core/logging.h"

namespace turmericshift {
namespace {

constexpr Duration kSilenceWatchInterval = std::chrono::milliseconds(250);
constexpr Duration kMinQuestionInterval = std::chrono::milliseconds(5);
constexpr Duration kMaxQuestionInterval = std::chrono::milliseconds(100);
// The minimum time-out of a question about an attempt's outcome, even when the deadline is closer,
// as the answer tells the caller whether the request ran.
constexpr Duration kMinQuestionTimeout = std::chrono::milliseconds(200);
constexpr Duration kMaxQuestionTimeout = std::chrono::seconds(1);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(10);
constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);
constexpr int kFirstServerErrorStatus = 500;

// Counts a request as outstanding at its agent for the lifetime of this object.
class OutstandingCount {
 public:
  OutstandingCount(AgentDirectory* directory, const std::string& agent)
      : directory_(directory), agent_(agent) {
    directory_->AddOutstanding(agent_, 1);
  }
  ~OutstandingCount() { directory_->AddOutstanding(agent_, -1); }
  OutstandingCount(const OutstandingCount&) = delete;
  OutstandingCount& operator=(const OutstandingCount&) = delete;

 private:
  AgentDirectory* const directory_;
  const std::string agent_;
};

bool IsIntact(const ServiceAnswer& answer) { return Digest(answer.body) == answer.body_digest; }

// Whether the error suggests that the target is faulty. Refusals due to load do not count.
bool IndicatesTargetFault(const Error& error) {
  if (error.outcome() == Outcome::kUnknown) return true;
  return error.kind() == ErrorKind::kUnavailable;
}

// Returns the attempt's answer, or throws the Error that matches its state.
ServiceAnswer AnswerOrThrow(RequestStatusReply seen) {
  if (seen.state == RequestRunState::kNeverWillRun) {
    throw Error(ErrorKind::kConnectionLost, Outcome::kNotRun,
                "the request did not reach the target and will not run");
  }
  if (seen.state == RequestRunState::kUnknown) {
    throw Error(ErrorKind::kConnectionLost, Outcome::kUnknown,
                "the target's agent does not know whether the request ran");
  }
  if (seen.answer.status == 0 || !IsIntact(seen.answer)) {
    throw Error(ErrorKind::kConflict, Outcome::kRan,
                "the request has run, but its answer is no longer stored");
  }
  return std::move(seen.answer);
}

}  // namespace

RequestStatusQuery MakeQuestion(const ServiceRequest& request) {
  RequestStatusQuery question;
  question.workspace = request.workspace;
  question.idempotency_key = request.idempotency_key;
  question.attempt = request.attempt;
  question.fence = request.fence;
  question.request_id = request.request_id;
  question.incarnation = request.incarnation;
  return question;
}

void RequireTimeLeft(Time deadline, Time now, Outcome outcome) {
  if (now < deadline) return;
  throw Error(ErrorKind::kDeadlineExceeded, outcome, "the deadline has passed");
}

TargetSender::TargetSender(const SenderOptions& options, std::unique_ptr<RoutingPolicy> policy,
                           AgentDirectory* directory, MetricsRegistry* metrics)
    : options_(options),
      policy_(std::move(policy)),
      directory_(directory),
      resolved_by_question_(&metrics->counter("router_settled_by_question")),
      unknown_(&metrics->counter("router_outcomes_unknown")),
      outlier_detector_(options.outliers),
      silence_watch_(ThreadRole::kEssential, "silence-watch", [this] { RunSilenceWatch(); }) {}

TargetSender::~TargetSender() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  stop_.notify_all();
  silence_watch_.Join();
}

void TargetSender::RunSilenceWatch() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stop_.wait_for(lock, kSilenceWatchInterval, [this] { return stopping_; })) {
    directory_->DisconnectSilent(DefaultClock().Now(), options_.dead);
  }
}

AgentState TargetSender::Choose(const std::string& service, const std::set<std::string>& avoid,
                                bool may_probe) {
  const Time now = DefaultClock().Now();
  std::vector<TargetCandidate> all =
      directory_->Candidates(service, now, options_.heartbeat_age_limit);
  if (all.empty()) {
    throw Error(ErrorKind::kUnavailable, "no target of service '" + service + "' is available");
  }
  std::vector<TargetCandidate> untried = all;
  std::erase_if(untried, [&](const TargetCandidate& each) { return avoid.contains(each.agent); });
  if (untried.empty()) untried = all;
  std::string chosen;
  const std::optional<size_t> probe =
      may_probe ? outlier_detector_.Probe(untried, now) : std::nullopt;
  if (probe) {
    chosen = untried[*probe].agent;
  } else {
    const std::vector<TargetCandidate> healthy = outlier_detector_.Filter(untried, now);
    chosen = healthy[policy_->Choose(healthy, options_.own_zone, now)].agent;
  }
  AgentState agent = directory_->Find(chosen);
  if (!agent.port) throw Error(ErrorKind::kUnavailable, "the chosen target has just disconnected");
  return agent;
}

ServiceAnswer TargetSender::Deliver(const AgentState& agent, const ServiceRequest& request,
                                    Time deadline) {
  const std::string& name = agent.hello.process;
  const Time sent = DefaultClock().Now();
  ServiceRequest message = request;
  message.time_left = deadline - sent;
  message.incarnation = agent.hello.incarnation;
  const OutstandingCount outstanding(directory_, name);
  std::optional<Error> delivery_error;
  try {
    ServiceAnswer answer = agent.port->Serve(message);
    const Time now = DefaultClock().Now();
    // Answers to other requests are detected by the request id, truncated answers by the digest;
    // the order of answers is not relied on.
    if (answer.request_id == message.request_id && IsIntact(answer)) {
      directory_->RecordLoad(name, answer.load);
      RecordResult(name, now - sent, nullptr, answer.status, now);
      return answer;
    }
    delivery_error.emplace(ErrorKind::kAnswerCut,
                           "the answer was truncated or belongs to another request");
  } catch (const Error& error) {
    const Time now = DefaultClock().Now();
    RecordResult(name, now - sent, &error, 0, now);
    if (error.kind() == ErrorKind::kLeaving) directory_->MarkLeaving(name, message.incarnation);
    if (error.outcome() != Outcome::kUnknown) throw;
    delivery_error.emplace(error);
  }
  try {
    resolved_by_question_->Add();
    ServiceAnswer answer = ResolveOutcome(name, MakeQuestion(message), sent, deadline);
    answer.request_id = request.request_id;
    return answer;
  } catch (const Error& error) {
    if (error.outcome() != Outcome::kUnknown) throw;
    unknown_->Add();
    // The error of the delivery says more about the cause than the error of the question to the
    // agent.
    throw *delivery_error;
  }
}

ServiceAnswer TargetSender::ResolveOutcome(const std::string& agent,
                                           const RequestStatusQuery& question, Time sent,
                                           Time deadline) {
  Time last_reached = DefaultClock().Now();
  for (Duration pause = kMinQuestionInterval;; pause = std::min(pause * 2, kMaxQuestionInterval)) {
    const Time now = DefaultClock().Now();
    const AgentState state = directory_->Find(agent);
    if (state.port && state.hello.incarnation != question.incarnation) {
      throw Error(ErrorKind::kConnectionLost, Outcome::kUnknown,
                  "the target's agent has restarted since the request was sent");
    }
    std::optional<RequestStatusReply> seen = QueryAgent(state, question, sent, now, deadline);
    if (seen && seen->state != RequestRunState::kRunning) return AnswerOrThrow(std::move(*seen));
    const Time asked = DefaultClock().Now();
    if (seen) last_reached = asked;
    RequireTimeLeft(deadline, asked, Outcome::kUnknown);
    if (asked - last_reached > options_.unreachable_timeout) {
      throw Error(ErrorKind::kConnectionLost, Outcome::kUnknown,
                  "the target's agent can't be reached to ask whether the request ran");
    }
    std::this_thread::sleep_for(std::min<Duration>(pause, deadline - asked));
  }
}

std::optional<RequestStatusReply> TargetSender::QueryAgent(const AgentState& agent,
                                                           RequestStatusQuery question, Time sent,
                                                           Time now, Time deadline) const {
  if (!agent.port) return std::nullopt;
  question.age = now - sent;
  const Duration timeout =
      std::clamp<Duration>(deadline - now, kMinQuestionTimeout, kMaxQuestionTimeout);
  try {
    return agent.port->Resolve(question, timeout);
  } catch (const Error& error) {
    LogEvent(LogLevel::kInfo, "question_lost",
             {{"agent", agent.hello.process}, {"error", error.what()}});
    return std::nullopt;
  }
}

void TargetSender::RecordResult(const std::string& agent, Duration latency, const Error* error,
                                int status, Time now) {
  if (error != nullptr && !IndicatesTargetFault(*error)) return;
  const bool success = error == nullptr && status < kFirstServerErrorStatus;
  outlier_detector_.Observe(agent, latency, success, now);
  policy_->Observe(agent, latency, success, now);
}

Duration TargetSender::RetryAfter(const std::string& service) const {
  const std::vector<TargetCandidate> candidates =
      directory_->Candidates(service, DefaultClock().Now(), options_.heartbeat_age_limit);
  int busy = 0;
  int slots = 0;
  for (const TargetCandidate& candidate : candidates) {
    busy += candidate.load.running + candidate.load.queued;
    slots += candidate.load.slots;
  }
  const Duration typical = outlier_detector_.TypicalLatency(candidates);
  if (slots == 0 || typical == Duration::zero()) return kDefaultRetryAfter;
  return std::clamp(typical * (busy + slots) / slots, kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace turmericshift
