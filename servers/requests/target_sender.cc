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

constexpr Duration kWatchPeriod = std::chrono::milliseconds(250);
constexpr Duration kFirstAsk = std::chrono::milliseconds(5);
constexpr Duration kLongestAsk = std::chrono::milliseconds(100);
// A question is worth asking even when the deadline is almost over: it tells whether it ran.
constexpr Duration kShortestQuestion = std::chrono::milliseconds(200);
constexpr Duration kLongestQuestion = std::chrono::seconds(1);
constexpr Duration kSoonestRetry = std::chrono::milliseconds(100);
constexpr Duration kLatestRetry = std::chrono::seconds(10);
constexpr Duration kDefaultRetry = std::chrono::seconds(1);
constexpr int kFirstFailureStatus = 500;

// Counts a request as outstanding for as long as it lives.
class Outstanding {
 public:
  Outstanding(AgentDirectory* directory, const std::string& agent)
      : directory_(directory), agent_(agent) {
    directory_->AddOutstanding(agent_, 1);
  }
  ~Outstanding() { directory_->AddOutstanding(agent_, -1); }
  Outstanding(const Outstanding&) = delete;
  Outstanding& operator=(const Outstanding&) = delete;

 private:
  AgentDirectory* const directory_;
  const std::string agent_;
};

bool Whole(const ServiceAnswer& answer) { return Digest(answer.body) == answer.body_digest; }

// Refusals that say how loaded the target is, not that it is bad.
bool IsVerdictOnTarget(const Error& error) {
  if (error.outcome() == Outcome::kUnknown) return true;
  return error.kind() == ErrorKind::kUnavailable;
}

// The answer or error that a settled question stands for.
ServiceAnswer TakeSettled(SeenAnswer seen) {
  if (seen.state == SeenState::kNeverWillRun) {
    throw Error(ErrorKind::kConnectionLost, Outcome::kNotRun,
                "the request was lost on its way and will not run");
  }
  if (seen.state == SeenState::kUnknown) {
    throw Error(ErrorKind::kConnectionLost, Outcome::kUnknown,
                "nobody knows whether the request ran");
  }
  if (seen.answer.status == 0 || !Whole(seen.answer)) {
    throw Error(ErrorKind::kConflict, Outcome::kRan,
                "the request has run; its answer is no longer kept");
  }
  return std::move(seen.answer);
}

}  // namespace

SeenQuestion QuestionAbout(const ServiceRequest& request) {
  SeenQuestion question;
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
      settled_(&metrics->counter("router_settled_by_question")),
      unknown_(&metrics->counter("router_outcomes_unknown")),
      judge_(options.outliers),
      watch_("silence-watch", [this] { RunWatch(); }) {}

TargetSender::~TargetSender() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  stop_.notify_all();
  watch_.Join();
}

void TargetSender::RunWatch() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stop_.wait_for(lock, kWatchPeriod, [this] { return stopping_; })) {
    directory_->DropSilent(DefaultClock().Now(), options_.dead);
  }
}

AgentState TargetSender::Choose(const std::string& service, const std::set<std::string>& avoid,
                                bool may_probe) {
  const Time now = DefaultClock().Now();
  std::vector<TargetCandidate> all =
      directory_->Candidates(service, now, options_.heartbeat_age_limit);
  if (all.empty()) {
    throw Error(ErrorKind::kUnavailable, "no target of service '" + service + "' is known");
  }
  std::vector<TargetCandidate> untried = all;
  std::erase_if(untried, [&](const TargetCandidate& each) { return avoid.contains(each.agent); });
  if (untried.empty()) untried = all;
  std::string chosen;
  const std::optional<size_t> probe = may_probe ? judge_.Probe(untried, now) : std::nullopt;
  if (probe) {
    chosen = untried[*probe].agent;
  } else {
    const std::vector<TargetCandidate> good = judge_.Filter(untried, now);
    chosen = good[policy_->Choose(good, options_.own_zone, now)].agent;
  }
  AgentState agent = directory_->Find(chosen);
  if (!agent.port) throw Error(ErrorKind::kUnavailable, "the chosen target has just gone");
  return agent;
}

ServiceAnswer TargetSender::Deliver(const AgentState& agent, const ServiceRequest& request,
                                    Time deadline) {
  const std::string& name = agent.hello.process;
  const Time sent = DefaultClock().Now();
  ServiceRequest message = request;
  message.time_left = deadline - sent;
  message.incarnation = agent.hello.incarnation;
  const Outstanding outstanding(directory_, name);
  std::optional<Error> lost;
  try {
    ServiceAnswer answer = agent.port->Serve(message);
    const Time now = DefaultClock().Now();
    // Crossed or cut answers are told apart by id and digest, never by order.
    if (answer.request_id == message.request_id && Whole(answer)) {
      directory_->Answered(name, answer.load);
      Judge(name, now - sent, nullptr, answer.status, now);
      return answer;
    }
    lost.emplace(ErrorKind::kAnswerCut, "the answer did not arrive whole");
  } catch (const Error& error) {
    const Time now = DefaultClock().Now();
    Judge(name, now - sent, &error, 0, now);
    if (error.kind() == ErrorKind::kLeaving) directory_->MarkLeaving(name, message.incarnation);
    if (error.outcome() != Outcome::kUnknown) throw;
    lost.emplace(error);
  }
  try {
    settled_->Add();
    ServiceAnswer answer = Settle(name, QuestionAbout(message), sent, deadline);
    answer.request_id = request.request_id;
    return answer;
  } catch (const Error& error) {
    if (error.outcome() != Outcome::kUnknown) throw;
    unknown_->Add();
    // The first error says more about the cause.
    throw *lost;
  }
}

ServiceAnswer TargetSender::Settle(const std::string& agent, const SeenQuestion& question,
                                   Time sent, Time deadline) {
  Time reached = DefaultClock().Now();
  for (Duration pause = kFirstAsk;; pause = std::min(pause * 2, kLongestAsk)) {
    const Time now = DefaultClock().Now();
    const AgentState state = directory_->Find(agent);
    if (state.port && state.hello.incarnation != question.incarnation) {
      throw Error(ErrorKind::kConnectionLost, Outcome::kUnknown,
                  "the target's agent has been started anew since");
    }
    std::optional<SeenAnswer> seen = Ask(state, question, sent, now, deadline);
    if (seen && seen->state != SeenState::kRunning) return TakeSettled(std::move(*seen));
    const Time asked = DefaultClock().Now();
    if (seen) reached = asked;
    RequireTimeLeft(deadline, asked, Outcome::kUnknown);
    if (asked - reached > options_.unreachable_timeout) {
      throw Error(ErrorKind::kConnectionLost, Outcome::kUnknown, "the target can't be asked");
    }
    std::this_thread::sleep_for(std::min<Duration>(pause, deadline - asked));
  }
}

std::optional<SeenAnswer> TargetSender::Ask(const AgentState& agent, SeenQuestion question,
                                            Time sent, Time now, Time deadline) const {
  if (!agent.port) return std::nullopt;
  question.age = now - sent;
  const Duration timeout =
      std::clamp<Duration>(deadline - now, kShortestQuestion, kLongestQuestion);
  try {
    return agent.port->Resolve(question, timeout);
  } catch (const Error& error) {
    LogEvent(LogLevel::kInfo, "question_lost",
             {{"agent", agent.hello.process}, {"error", error.what()}});
    return std::nullopt;
  }
}

void TargetSender::Judge(const std::string& agent, Duration latency, const Error* error, int status,
                         Time now) {
  if (error != nullptr && !IsVerdictOnTarget(*error)) return;
  const bool well = error == nullptr && status < kFirstFailureStatus;
  judge_.Observe(agent, latency, well, now);
  policy_->Observe(agent, latency, well, now);
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
  const Duration typical = judge_.TypicalLatency(candidates);
  if (slots == 0 || typical == Duration::zero()) return kDefaultRetry;
  return std::clamp(typical * (busy + slots) / slots, kSoonestRetry, kLatestRetry);
}

}  // namespace turmericshift
