// What an entry answers callers: it routes, checks keys, hands jobs to the planner and tells their
// state from its own view of the store.
//
// Load pattern: bursts of submissions, and a planner that is being replaced under them. A call
// waits through a change of planner, which takes two seconds, since callers try again at once and
// would use up their tries; it is turned away at once when the store is known not to answer.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "core/http_server.h"
#include "core/metrics.h"
#include "core/plugin_registry.h"
#include "servers/pool/planner_gate.h"
#include "servers/pool/planner_router.h"
#include "servers/pool/pool_view.h"
#include "servers/pool/unresolved_calls.h"

namespace turmericshift::pool {

// A caller's call, read by an adapter.
struct JobCall {
  enum class Kind { kSubmit, kState, kCancel };
  Kind kind = Kind::kState;
  std::string host;
  std::string path;
  // Empty when the caller showed none.
  std::string key;
  // How long the caller waits.
  Duration timeout = std::chrono::seconds(3);
  size_t body_bytes = 0;
  // Reads the body's payload, steps and schedule into a job; throws Error(kInvalidInput).
  std::function<void(JobSpec*)> read_body;
};

enum class JobAnswerKind {
  // The job is in the store.
  kAccepted,
  // `state` tells the job's state.
  kState,
  // `waiting` tells how many jobs of the queue wait.
  kWaiting,
  kCancelled,
  kNoSuchQueue,
  kNoSuchJob,
  kUnknownKey,
  kBadRequest,
  // Surely not taken in; may be tried again after `retry_after`.
  kNotAccepted,
  // Not known whether it was taken in; the same call again is harmless.
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
  // Without word of the operators for so long, a key may have been taken away unheard of.
  Duration key_limit = std::chrono::milliseconds(4000);
  // A view older than this may miss a job taken in elsewhere that has to be known by now.
  Duration view_limit = std::chrono::milliseconds(2000);
  // Left of a caller's patience for the answer's way back.
  Duration reserve = std::chrono::milliseconds(250);
  // One try at the planner.
  Duration try_limit = std::chrono::milliseconds(1500);
  // Suggested when nothing better is known: a change of planner, or a store that is away, for a
  // moment.
  Duration retry_after = std::chrono::seconds(1);
};

class JobApi {
 public:
  // `local`: the planner of this process, used when the duty is here.
  JobApi(const JobApiOptions& options, const WorkView* work, const OperatorView* operators,
         PlannerGate* local, PlannerRouter* reach, MetricsRegistry* metrics);

  JobAnswer Handle(const JobCall& call, Time now);
  // Every call has its answer by then, also one whose caller would wait longer: the process ends.
  void SetAnswerDeadline(Time limit) { answer_by_.store(limit); }
  // Whether callers are served well here.
  bool Ready(Time now) const;

 private:
  JobAnswer HandleCall(const JobCall& call, Time now);
  JobAnswer HandleRouted(const JobCall& call, const Queue& queue, const std::string& workspace,
                         Time now);
  JobAnswer Submit(const JobCall& call, const Queue& queue, const std::string& id,
                   const std::string& workspace, Time now);
  JobAnswer State(const std::string& id, Time now) const;
  JobAnswer Cancel(const std::string& id, Duration timeout, Time now);
  // Tries `ask` at whoever plans until it is answered or `until`; `known` tells whether the view
  // shows that it has happened.
  JobAnswer AskPlanner(const std::function<void(PlannerClient*, Duration)>& ask,
                       const std::function<bool()>& known, JobAnswerKind done, Time until);
  std::shared_ptr<PlannerClient> Port(Duration limit);
  void DropPort(const std::shared_ptr<PlannerClient>& port);
  JobAnswer NotAccepted(const std::string& message) const;

  const JobApiOptions options_;
  const WorkView* const work_;
  const OperatorView* const operators_;
  PlannerGate* const local_;
  PlannerRouter* const reach_;
  Counter& accepted_;
  Counter& refused_;
  Counter& unknown_;
  Distribution& submit_seconds_;
  std::atomic<Time> answer_by_{Time::max()};
  UnresolvedCalls unresolved_;
  std::mutex mutex_;
  std::shared_ptr<PlannerClient> port_;
  int64_t port_epoch_ = 0;
};

// Reads a platform's calls and writes its answers.
class CallerEndpoint {
 public:
  virtual ~CallerEndpoint() = default;
  virtual HttpResponse Handle(const HttpRequest& request, JobApi* front, Time now) const = 0;
  // The path at which the platform's balancer asks whether this entry is ready.
  virtual std::string ready_path() const = 0;
};

using CallerEndpointRegistry = PluginRegistry<CallerEndpoint>;

}  // namespace turmericshift::pool
