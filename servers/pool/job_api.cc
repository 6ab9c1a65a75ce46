#include "servers/pool/job_api.h"

#include <algorithm>
#include <thread>

#include "core/logging.h"
#include "servers/pool/job_records.h"
#include "servers/pool/local_planner_client.h"

namespace turmericshift::pool {
namespace {

// Interval between the attempts of a call that waits for a planner.
constexpr Duration kRetryInterval = std::chrono::milliseconds(60);
// A planner in another zone answers a connection request within milliseconds.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(700);
// A record becomes durable and is acknowledged in some 20 ms; an attempt with less time than this
// is pointless.
constexpr Duration kMinAttemptTime = std::chrono::milliseconds(60);
// A slow store takes up to 0.25 s for a read.
constexpr Duration kRefreshTimeout = std::chrono::milliseconds(300);
// How long the work topic is followed closely after a call has failed at the planner.
constexpr Duration kCloseFollowPeriod = std::chrono::seconds(2);
// The planner answers most calls within 20 ms, and in 0.5 s with a slow store.
constexpr Duration kLongCall = std::chrono::milliseconds(300);
// A view older than this while the topic is followed closely shows that the store does not answer.
constexpr Duration kStoreLostAge = std::chrono::milliseconds(1500);

// Throws Error(kTooLarge) if the store can't hold the job's records: they would be refused for
// ever, and all later ones with them.
void CheckStorable(const JobSpec& spec, size_t max_value_bytes) {
  if (spec.id.size() > kMaxJobIdBytes) {
    throw Error(ErrorKind::kTooLarge,
                "the job's id is longer than " + std::to_string(kMaxJobIdBytes) + " bytes");
  }
  if (EncodeSpec(spec).size() > max_value_bytes) {
    throw Error(ErrorKind::kTooLarge,
                "the job takes more than " + std::to_string(max_value_bytes) + " bytes to store");
  }
}

}  // namespace

JobApi::JobApi(const JobApiOptions& options, WorkView* work, const OperatorView* operators,
               PlannerGate* local, PlannerRouter* router, MetricsRegistry* metrics)
    : options_(options),
      work_(work),
      operators_(operators),
      local_(local),
      router_(router),
      accepted_(metrics->counter("jobs_accepted")),
      refused_(metrics->counter("calls_refused")),
      unknown_(metrics->counter("calls_unknown")),
      submit_seconds_(metrics->distribution("submit_seconds")) {}

bool JobApi::Ready(Time now) const {
  return operators_->state()->config.version > 0 &&
         operators_->freshness().within(options_.key_age_limit, now) &&
         work_->freshness().within(options_.key_age_limit, now);
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
  if (answer.kind == JobAnswerKind::kUnknown) unresolved_.Record(name, LeaseClock().Now());
  if (answer.kind == JobAnswerKind::kNotAccepted && unresolved_.Contains(name, now)) {
    LogEvent(LogLevel::kWarning, "refusal_withheld",
             {{"path", call.path}, {"reason", answer.message}});
    answer.kind = JobAnswerKind::kUnknown;
  }
  return answer;
}

JobAnswer JobApi::HandleCall(const JobCall& call, Time now) {
  // The freshness is read before the document, so the document is at least as recent as the
  // freshness says.
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
  if (!freshness.within(options_.key_age_limit, now)) {
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
    work_->Refresh(options_.waiting_age_limit, kRefreshTimeout, now);
    if (!work_->freshness().within(options_.view_age_limit, LeaseClock().Now())) {
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

JobAnswer JobApi::State(const std::string& id, Time now) {
  JobAnswer answer;
  const std::optional<JobState> seen = work_->StateOf(id);
  if (!seen || !IsOver(*seen)) work_->Refresh(options_.state_age_limit, kRefreshTimeout, now);
  // The freshness is read before the state. In the other order, the view could catch up in between,
  // and the newer freshness would not apply to the older state.
  const Freshness freshness = work_->freshness();
  const std::optional<JobState> state = work_->StateOf(id);
  if (state) {
    answer.kind = JobAnswerKind::kState;
    answer.state = *state;
    return answer;
  }
  // A job that is missing from an outdated view may exist, so "no such job" is answered only from a
  // recent view.
  if (!freshness.within(options_.view_age_limit, LeaseClock().Now())) {
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
    CheckStorable(spec, options_.max_value_bytes);
  } catch (const Error& error) {
    answer.kind = JobAnswerKind::kBadRequest;
    answer.message = error.what();
    LogEvent(LogLevel::kWarning, "job_refused", {{"job", id}, {"reason", error.what()}});
    return answer;
  }
  answer = CallPlanner([&](PlannerClient* client, Duration limit) { client->Submit(spec, limit); },
                       [&] { return work_->StateOf(id).has_value(); }, JobAnswerKind::kAccepted,
                       now + call.timeout - options_.response_margin);
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
  answer = CallPlanner([&](PlannerClient* client, Duration limit) { client->Cancel(id, limit); },
                       [&] {
                         const std::optional<JobState> seen = work_->StateOf(id);
                         return seen && IsOver(*seen);
                       },
                       JobAnswerKind::kCancelled, now + timeout - options_.response_margin);
  LogEvent(LogLevel::kInfo, "job_cancel",
           {{"job", id},
            {"cancelled", answer.kind == JobAnswerKind::kCancelled},
            {"reason", answer.message}});
  return answer;
}

std::shared_ptr<PlannerClient> JobApi::ConnectToPlanner(Duration limit) {
  // If this entry has lost contact with the store, it can't read the record of a newer planner but
  // may have been notified by that planner, or told of it by others.
  const LeadershipView leadership = work_->leadership();
  const PlannerRecord known = router_->Newest(leadership.planner, leadership.freshness);
  const PlannerRecord announced = local_->Successor();
  const PlannerRecord& planner = announced.epoch > known.epoch ? announced : known;
  if (planner.address.empty()) throw Error(ErrorKind::kUnavailable, Outcome::kNotRun, "no planner");
  if (planner.node == options_.node) return std::make_shared<LocalPlannerClient>(local_);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (client_ && client_epoch_ == planner.epoch) return client_;
  }
  std::shared_ptr<PlannerClient> client =
      router_->Connect(planner, std::min(limit, kConnectTimeout), LeaseClock().Now());
  const std::lock_guard<std::mutex> lock(mutex_);
  client_ = client;
  client_epoch_ = planner.epoch;
  return client;
}

void JobApi::DiscardClient(const std::shared_ptr<PlannerClient>& client) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (client_ == client) client_.reset();
}

void JobApi::CallOnce(const std::function<void(PlannerClient*, Duration)>& call,
                      PlannerClient* client, Duration limit) {
  std::multiset<Time>::iterator waiting;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    waiting = waiting_since_.insert(LeaseClock().Now());
  }
  const auto end_wait = [&] {
    const std::lock_guard<std::mutex> lock(mutex_);
    waiting_since_.erase(waiting);
  };
  try {
    call(client, limit);
  } catch (...) {
    end_wait();
    throw;
  }
  end_wait();
}

// A planner that has lost power answers nothing and does not refuse connections either. Its
// successor stands before calls to it time out.
void JobApi::WatchCalls(int64_t newest_epoch, Time now) {
  std::shared_ptr<PlannerClient> outdated;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!waiting_since_.empty() && now - *waiting_since_.begin() > kLongCall) {
      work_->FollowCloselyUntil(now + kCloseFollowPeriod, now);
    }
    if (client_ && client_epoch_ < newest_epoch) outdated = std::move(client_);
  }
  if (outdated) outdated->Close();
}

bool JobApi::FindNewerPlanner(const std::shared_ptr<PlannerClient>& client, const Error& error,
                              Duration limit) {
  const Time now = LeaseClock().Now();
  work_->FollowCloselyUntil(now + kCloseFollowPeriod, now);
  const bool refused = error.kind() == ErrorKind::kConflict && error.outcome() == Outcome::kNotRun;
  if (client && refused && router_->AskFormerPlanner(client.get(), limit, now)) return true;
  if (!work_->freshness().within(kStoreLostAge, now)) router_->AskStandbys(limit, now);
  return false;
}

JobAnswer JobApi::CallPlanner(const std::function<void(PlannerClient*, Duration)>& call,
                              const std::function<bool()>& already_done, JobAnswerKind done,
                              Time until) {
  JobAnswer answer;
  bool may_have_run = false;
  while (true) {
    if (already_done()) {
      answer.kind = done;
      answer.message = "";
      return answer;
    }
    const Time now = LeaseClock().Now();
    const Time end = std::min(until, answer_deadline_.load());
    if (end - now < kMinAttemptTime) break;
    std::shared_ptr<PlannerClient> client;
    try {
      client = ConnectToPlanner(end - now);
      CallOnce(call, client.get(), std::min(end - now, options_.attempt_timeout));
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
      if (!not_run) may_have_run = true;
      // The planner is reachable but cannot store anything now: waiting would not help the caller.
      if (not_run && !may_have_run && error.kind() == ErrorKind::kLogUnavailable) {
        return NotAccepted(error.what());
      }
      // The planner has refused the job for load. Another attempt at once would be refused again.
      if (not_run && error.kind() == ErrorKind::kOverloaded) {
        if (may_have_run) {
          answer.kind = JobAnswerKind::kUnknown;
          return answer;
        }
        JobAnswer refused = NotAccepted(error.what());
        refused.retry_after = error.retry_after().value_or(options_.retry_after);
        return refused;
      }
      const bool found = FindNewerPlanner(client, error, end - now);
      if (client) DiscardClient(client);
      if (found) continue;
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
  if (!may_have_run) return NotAccepted(answer.message);
  answer.kind = JobAnswerKind::kUnknown;
  return answer;
}

}  // namespace turmericshift::pool
