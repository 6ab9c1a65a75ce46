// API handler of an entry for callers: routes calls, checks keys, submits jobs to the planner, and
// reports job states from the entry's own view of the store.
//
// Load pattern: bursts of submissions while the planner is being replaced. A call waits through a
// change of planner, which takes two seconds, since callers retry immediately and would use up
// their attempts. A call is refused immediately when the store is known to be unresponsive.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "core/http_server.h"
#include "core/metrics.h"
#include "core/plugin_registry.h"
#include "servers/pool/planner_gate.h"
#include "servers/pool/planner_router.h"
#include "servers/pool/pool_view.h"
#include "servers/pool/unresolved_calls.h"

namespace turmericshift::pool {

// A call to the job API, decoded from the platform's HTTP request by a CallerEndpoint.
struct JobCall {
  enum class Kind { kSubmit, kState, kCancel };
  Kind kind = Kind::kState;
  std::string host;
  std::string path;
  // Empty if the caller sent none.
  std::string key;
  // How long the caller waits for an answer.
  Duration timeout = std::chrono::seconds(3);
  size_t body_bytes = 0;
  // Parses the body's payload, steps and schedule into a job; throws Error(kInvalidInput).
  std::function<void(JobSpec*)> read_body;
};

enum class JobAnswerKind {
  // The job is durable.
  kAccepted,
  // `state` holds the job's state.
  kState,
  // `waiting` holds the number of the queue's waiting jobs.
  kWaiting,
  kCancelled,
  kNoSuchQueue,
  kNoSuchJob,
  kUnknownKey,
  kBadRequest,
  // The call certainly had no effect; it may be repeated after `retry_after`.
  kNotAccepted,
  // It is unknown whether the call took effect; repeating it is harmless.
  kUnknown,
};

struct JobAnswer {
  JobAnswerKind kind = JobAnswerKind::kUnknown;
  JobState state = JobState::kQueued;
  int waiting = 0;
  std::string message;
  Duration retry_after{};
};

struct JobApiOptions {
  std::string node;
  // Oldest operator view for which keys are accepted: an older view might still contain a withdrawn
  // key.
  Duration key_age_limit = std::chrono::milliseconds(4000);
  // Oldest view of the work topic that counts as complete: an older view may lack jobs that other
  // entries accepted and that must be visible by now.
  Duration view_age_limit = std::chrono::milliseconds(2000);
  // Part of the caller's timeout that is reserved for sending the answer.
  Duration response_margin = std::chrono::milliseconds(250);
  // Timeout of one attempt at the planner.
  Duration attempt_timeout = std::chrono::milliseconds(1500);
  // Age up to which the view of the work topic is used without reading the topic again: for the
  // state of a job that is not over, and for the number of waiting jobs.
  Duration state_age_limit = std::chrono::milliseconds(100);
  Duration waiting_age_limit = std::chrono::milliseconds(800);
  // Default retry delay suggested to callers, for example during a change of planner or a short
  // outage of the store.
  Duration retry_after = std::chrono::seconds(1);
  // Largest specification that can be stored, as encoded by EncodeSpec.
  size_t max_value_bytes = size_t{255} << 10;
};

class JobApi {
 public:
  // `local`: this process's planner, used while it is the active one.
  JobApi(const JobApiOptions& options, WorkView* work, const OperatorView* operators,
         PlannerGate* local, PlannerRouter* router, MetricsRegistry* metrics);

  // Whether a submission to this address has ended with an unknown outcome, so that no later copy
  // of it may be refused as not accepted.
  bool MayBeAccepted(const std::string& host, const std::string& path, Time now) const {
    return unresolved_.Contains(host + path, now);
  }
  JobAnswer Handle(const JobCall& call, Time now);
  // Sets the time by which every call is answered, also if its caller would wait longer, because
  // the process ends.
  void SetAnswerDeadline(Time deadline) { answer_deadline_.store(deadline); }
  // Ends calls that wait at a planner older than the one of `newest_epoch`, so that they are
  // repeated at the newer one, and looks for a newer one while calls wait long. To be called
  // several times a second.
  void WatchCalls(int64_t newest_epoch, Time now);
  // Whether this entry can serve callers: its views of the store are recent.
  bool Ready(Time now) const;

 private:
  JobAnswer HandleCall(const JobCall& call, Time now);
  JobAnswer HandleRouted(const JobCall& call, const Queue& queue, const std::string& workspace,
                         Time now);
  JobAnswer Submit(const JobCall& call, const Queue& queue, const std::string& id,
                   const std::string& workspace, Time now);
  JobAnswer State(const std::string& id, Time now);
  JobAnswer Cancel(const std::string& id, Duration timeout, Time now);
  // Repeats `call` at the active planner until it is answered or `until` is reached; `already_done`
  // tells whether the view shows that the call has taken effect.
  JobAnswer CallPlanner(const std::function<void(PlannerClient*, Duration)>& call,
                        const std::function<bool()>& already_done, JobAnswerKind done, Time until);
  std::shared_ptr<PlannerClient> ConnectToPlanner(Duration limit);
  void DiscardClient(const std::shared_ptr<PlannerClient>& client);
  // Finds out about a newer planner after a call has failed. `client`: the planner that was called,
  // null if it could not be reached. Returns whether a newer one is known now.
  bool FindNewerPlanner(const std::shared_ptr<PlannerClient>& client, const Error& error,
                        Duration limit);
  // Carries out one call at the planner, so that WatchCalls sees it.
  void CallOnce(const std::function<void(PlannerClient*, Duration)>& call, PlannerClient* client,
                Duration limit);
  JobAnswer NotAccepted(const std::string& message) const;

  const JobApiOptions options_;
  WorkView* const work_;
  const OperatorView* const operators_;
  PlannerGate* const local_;
  PlannerRouter* const router_;
  Counter& accepted_;
  Counter& refused_;
  Counter& unknown_;
  Distribution& submit_seconds_;
  std::atomic<Time> answer_deadline_{Time::max()};
  UnresolvedCalls unresolved_;
  std::mutex mutex_;
  std::shared_ptr<PlannerClient> client_;
  int64_t client_epoch_ = 0;
  // When the calls that wait at the planner began.
  std::multiset<Time> waiting_since_;
};

// Translates between a platform's HTTP calls and the JobApi.
class CallerEndpoint {
 public:
  virtual ~CallerEndpoint() = default;
  virtual HttpResponse Handle(const HttpRequest& request, JobApi* api, Time now) const = 0;
  // Path at which the platform's load balancer checks whether this entry is ready.
  virtual std::string ready_path() const = 0;
};

using CallerEndpointRegistry = PluginRegistry<CallerEndpoint>;

}  // namespace turmericshift::pool
