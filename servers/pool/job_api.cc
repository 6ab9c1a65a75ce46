#include "servers/pool/job_api.h"

#include <algorithm>
#include <thread>

#include "core/logging.h"
#include "servers/pool/local_planner_client.h"

namespace turmericshift::pool {
namespace {

// How often a call that waits for a planner looks for one.
constexpr Duration kLookAgain = std::chrono::milliseconds(60);
// A planner in another zone answers a connect within milliseconds.
constexpr Duration kConnectLimit = std::chrono::milliseconds(700);
// A record is kept and answered for in some 20 ms; with less than this left a try is pointless.
constexpr Duration kShortestTry = std::chrono::milliseconds(60);

}  // namespace

JobApi::JobApi(const JobApiOptions& options, const WorkView* work, const OperatorView* operators,
               PlannerGate* local, PlannerRouter* reach, MetricsRegistry* metrics)
    : options_(options),
      work_(work),
      operators_(operators),
      local_(local),
      reach_(reach),
      accepted_(metrics->counter("jobs_accepted")),
      refused_(metrics->counter("calls_refused")),
      unknown_(metrics->counter("calls_unknown")),
      submit_seconds_(metrics->distribution("submit_seconds")) {}

bool JobApi::Ready(Time now) const {
  return operators_->state()->config.version > 0 &&
         operators_->freshness().within(options_.key_limit, now) &&
         work_->freshness().within(options_.key_limit, now);
}

JobAnswer JobApi::NotAccepted(const std::string& message) const {
  JobAnswer answer;
  answer.kind = JobAnswerKind::kNotAccepted;
  answer.message = message;
  answer.retry_after = options_.retry_after;
  return answer;
}

JobAnswer JobApi::Handle(const JobCall& call, Time now) {
  JobAnswer answer = HandleCall(call, now);
  if (call.kind != JobCall::Kind::kSubmit) return answer;
  const std::string name = call.host + call.path;
  if (answer.kind == JobAnswerKind::kUnknown) unresolved_.Note(name, LeaseClock().Now());
  if (answer.kind == JobAnswerKind::kNotAccepted && unresolved_.Contains(name, now)) {
    LogEvent(LogLevel::kWarning, "refusal_withheld",
             {{"path", call.path}, {"reason", answer.message}});
    answer.kind = JobAnswerKind::kUnknown;
  }
  return answer;
}

JobAnswer JobApi::HandleCall(const JobCall& call, Time now) {
  // Read first, so that the document is at least as new as this says.
  const Freshness freshness = operators_->freshness();
  const std::shared_ptr<const OperatorState> state = operators_->state();
  if (state->config.version == 0) return NotAccepted("no configuration has been read yet");
  const Queue* queue = state->config.Route(call.host, call.path);
  if (queue == nullptr) {
    JobAnswer answer;
    answer.kind = JobAnswerKind::kNoSuchQueue;
    answer.message = "no queue at this address";
    return answer;
  }
  if (queue->open) return HandleRouted(call, *queue, "", now);
  if (!freshness.within(options_.key_limit, now)) {
    return NotAccepted("keys can't be checked: the store does not answer");
  }
  const Workspace* workspace = state->config.WorkspaceForKey(call.key);
  if (workspace == nullptr) {
    JobAnswer answer;
    answer.kind = JobAnswerKind::kUnknownKey;
    answer.message = "unknown key";
    return answer;
  }
  return HandleRouted(call, *queue, workspace->name, now);
}

JobAnswer JobApi::HandleRouted(const JobCall& call, const Queue& queue,
                               const std::string& workspace, Time now) {
  const std::string id = call.path.substr(queue.path_prefix.size());
  if (id.empty()) {
    if (call.kind != JobCall::Kind::kState) {
      JobAnswer answer;
      answer.kind = JobAnswerKind::kBadRequest;
      answer.message = "a job's id is missing";
      return answer;
    }
    if (!work_->freshness().within(options_.view_limit, now)) {
      return NotAccepted("the store does not answer");
    }
    JobAnswer answer;
    answer.kind = JobAnswerKind::kWaiting;
    answer.waiting = work_->Waiting(queue.name);
    return answer;
  }
  switch (call.kind) {
    case JobCall::Kind::kSubmit:
      return Submit(call, queue, id, workspace, now);
    case JobCall::Kind::kState:
      return State(id, now);
    case JobCall::Kind::kCancel:
      return Cancel(id, call.timeout, now);
  }
  return NotAccepted("");
}

JobAnswer JobApi::State(const std::string& id, Time now) const {
  JobAnswer answer;
  // Read first: a view that catches up in between would vouch for what it did not show yet.
  const Freshness freshness = work_->freshness();
  const std::optional<JobState> state = work_->StateOf(id);
  if (state) {
    answer.kind = JobAnswerKind::kState;
    answer.state = *state;
    return answer;
  }
  // Only a view that is fresh enough to know every job may say that there is none.
  if (!freshness.within(options_.view_limit, now)) {
    return NotAccepted("the store does not answer");
  }
  answer.kind = JobAnswerKind::kNoSuchJob;
  return answer;
}

JobAnswer JobApi::Submit(const JobCall& call, const Queue& queue, const std::string& id,
                         const std::string& workspace, Time now) {
  JobSpec spec;
  spec.id = id;
  spec.queue = queue.name;
  spec.workspace = workspace;
  spec.terms = queue.terms;
  spec.accepted_ms = LeaseClock().WallMillis();
  JobAnswer answer;
  try {
    const size_t most = operators_->state()->config.max_body_bytes;
    if (call.body_bytes > most) {
      throw Error(ErrorKind::kInvalidInput,
                  "the body is larger than " + std::to_string(most) + " bytes");
    }
    call.read_body(&spec);
  } catch (const Error& error) {
    answer.kind = JobAnswerKind::kBadRequest;
    answer.message = error.what();
    LogEvent(LogLevel::kWarning, "job_refused", {{"job", id}, {"reason", error.what()}});
    return answer;
  }
  answer = AskPlanner([&](PlannerClient* port, Duration limit) { port->Submit(spec, limit); },
                      [&] { return work_->StateOf(id).has_value(); }, JobAnswerKind::kAccepted,
                      now + call.timeout - options_.reserve);
  const Time end = LeaseClock().Now();
  submit_seconds_.Record(Seconds(end - now));
  const bool accepted = answer.kind == JobAnswerKind::kAccepted;
  (accepted ? accepted_ : answer.kind == JobAnswerKind::kUnknown ? unknown_ : refused_).Add();
  LogEvent(accepted ? LogLevel::kInfo : LogLevel::kWarning,
           accepted ? "job_accepted" : "job_not_accepted",
           {{"job", id},
            {"queue", queue.name},
            {"workspace", workspace},
            {"steps", spec.steps.size()},
            {"tasks", TotalTasks(spec)},
            {"accelerators", TotalAccelerators(spec)},
            {"chain_s", Seconds(EstimatedCriticalPath(spec))},
            {"gang", spec.steps.front().gang},
            {"one_rack", spec.steps.front().one_rack},
            {"data_rack", spec.steps.front().data_rack},
            {"seconds", Seconds(end - now)},
            {"not_run", answer.kind == JobAnswerKind::kNotAccepted},
            {"planner_epoch", work_->leadership().planner.epoch},
            {"reason", answer.message}});
  return answer;
}

JobAnswer JobApi::Cancel(const std::string& id, Duration timeout, Time now) {
  const std::optional<JobState> state = work_->StateOf(id);
  JobAnswer answer;
  if (state && IsOver(*state)) {
    answer.kind = JobAnswerKind::kCancelled;
    return answer;
  }
  answer = AskPlanner([&](PlannerClient* port, Duration limit) { port->Cancel(id, limit); },
                      [&] {
                        const std::optional<JobState> seen = work_->StateOf(id);
                        return seen && IsOver(*seen);
                      },
                      JobAnswerKind::kCancelled, now + timeout - options_.reserve);
  LogEvent(LogLevel::kInfo, "job_cancel",
           {{"job", id},
            {"cancelled", answer.kind == JobAnswerKind::kCancelled},
            {"reason", answer.message}});
  return answer;
}

std::shared_ptr<PlannerClient> JobApi::Port(Duration limit) {
  // This entry may have lost the store and been told of a planner that it can't read of.
  const PlannerRecord read = work_->leadership().planner;
  const PlannerRecord told = local_->Successor();
  const PlannerRecord& planner = told.epoch > read.epoch ? told : read;
  if (planner.address.empty()) throw Error(ErrorKind::kUnavailable, Outcome::kNotRun, "no planner");
  if (planner.node == options_.node) return std::make_shared<LocalPlannerClient>(local_);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (port_ && port_epoch_ == planner.epoch) return port_;
  }
  std::shared_ptr<PlannerClient> port =
      reach_->Connect(planner, std::min(limit, kConnectLimit), LeaseClock().Now());
  const std::lock_guard<std::mutex> lock(mutex_);
  port_ = port;
  port_epoch_ = planner.epoch;
  return port;
}

void JobApi::DropPort(const std::shared_ptr<PlannerClient>& port) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (port_ == port) port_.reset();
}

JobAnswer JobApi::AskPlanner(const std::function<void(PlannerClient*, Duration)>& ask,
                             const std::function<bool()>& known, JobAnswerKind done, Time until) {
  JobAnswer answer;
  bool maybe = false;
  while (true) {
    if (known()) {
      answer.kind = done;
      answer.message = "";
      return answer;
    }
    const Time now = LeaseClock().Now();
    const Time end = std::min(until, answer_by_.load());
    if (end - now < kShortestTry) break;
    std::shared_ptr<PlannerClient> port;
    try {
      port = Port(end - now);
      ask(port.get(), std::min(end - now, options_.try_limit));
      answer.kind = done;
      answer.message = "";
      return answer;
    } catch (const Error& error) {
      answer.message = error.what();
      if (error.kind() == ErrorKind::kNotFound) {
        answer.kind = JobAnswerKind::kNoSuchJob;
        return answer;
      }
      const bool not_run = error.outcome() == Outcome::kNotRun;
      if (!not_run) maybe = true;
      // The planner is there and can't keep anything now: waiting would not help the caller.
      if (not_run && !maybe && error.kind() == ErrorKind::kLogUnavailable) {
        return NotAccepted(error.what());
      }
      if (port) DropPort(port);
    }
    std::this_thread::sleep_for(kLookAgain);
  }
  if (!maybe) return NotAccepted(answer.message);
  answer.kind = JobAnswerKind::kUnknown;
  return answer;
}

}  // namespace turmericshift::pool
