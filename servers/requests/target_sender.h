// Chooses a target, sends it one attempt of a request, and determines the attempt's outcome when
// the answer is lost or truncated.
#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "core/metrics.h"
#include "core/thread.h"
#include "servers/entry/agent_directory.h"
#include "servers/entry/routing_policy.h"
#include "servers/requests/outlier_detector.h"

namespace turmericshift {

struct SenderOptions {
  std::string own_zone;
  // An agent whose last heartbeat is older gets no new requests.
  Duration heartbeat_age_limit = std::chrono::seconds(3);
  // After this long without a heartbeat, an agent's connection is dropped and its calls in flight
  // fail. Their outcomes are then asked for over the agent's next connection.
  Duration dead = std::chrono::seconds(5);
  // How long an unreachable agent is asked about an attempt before the outcome is called unknown.
  Duration unreachable_timeout = std::chrono::seconds(5);
  OutlierOptions outliers;
};

class TargetSender {
 public:
  // `directory` must outlive the sender.
  TargetSender(const SenderOptions& options, std::unique_ptr<RoutingPolicy> policy,
               AgentDirectory* directory, MetricsRegistry* metrics);
  ~TargetSender();
  TargetSender(const TargetSender&) = delete;
  TargetSender& operator=(const TargetSender&) = delete;

  // Chooses a target of `service`, preferably one not in `avoid`. With `may_probe`, an ejected
  // target that is due for a probe comes first. Throws Error(kUnavailable) without any target.
  AgentState Choose(const std::string& service, const std::set<std::string>& avoid, bool may_probe);

  // Sends `request` to `agent` and returns its complete answer. Throws Error; its outcome is
  // not_run only if the agent has refused the attempt and will never run it.
  ServiceAnswer Deliver(const AgentState& agent, const ServiceRequest& request, Time deadline);

  // Asks `agent` for the outcome of an attempt that was sent at `sent`. Returns its answer, waiting
  // until `deadline` while the attempt runs. Throws Error as Deliver does.
  ServiceAnswer ResolveOutcome(const std::string& agent, const RequestStatusQuery& question,
                               Time sent, Time deadline);

  // How long a refused caller of `service` should wait, estimated from the load of its targets.
  Duration RetryAfter(const std::string& service) const;

 private:
  // Asks the agent once for the outcome of an attempt. Returns nullopt if the agent could not be
  // reached.
  std::optional<RequestStatusReply> QueryAgent(const AgentState& agent, RequestStatusQuery question,
                                               Time sent, Time now, Time deadline) const;
  // Passes a call's result to the outlier detector and the policy. `error` is null for an answer.
  void RecordResult(const std::string& agent, Duration latency, const Error* error, int status,
                    Time now);
  // Body of the thread that disconnects agents without recent heartbeats.
  void RunSilenceWatch();

  const SenderOptions options_;
  const std::unique_ptr<RoutingPolicy> policy_;
  AgentDirectory* const directory_;
  Counter* const resolved_by_question_;
  Counter* const unknown_;
  OutlierDetector outlier_detector_;

  std::mutex mutex_;
  std::condition_variable stop_;
  bool stopping_ = false;
  Thread silence_watch_;
};

// The question that asks an agent for the outcome of `request`.
RequestStatusQuery MakeQuestion(const ServiceRequest& request);

// Throws Error(kDeadlineExceeded) with `outcome` when `deadline` is not after `now`.
void RequireTimeLeft(Time deadline, Time now, Outcome outcome);

}  // namespace turmericshift
