// Chooses a target, sends it one attempt, and finds out what became of the attempt when the answer
// does not come back whole.
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
  // An agent not heard for this long gets no new requests.
  Duration heartbeat_age_limit = std::chrono::seconds(3);
  // The calls in flight to an agent not heard for this long end, and their ids are asked about
  // over its next connection.
  Duration dead = std::chrono::seconds(5);
  // How long an agent that can't be reached is tried before the outcome is called unknown.
  Duration unreachable_timeout = std::chrono::seconds(5);
  JudgeOptions outliers;
};

class TargetSender {
 public:
  // `directory` must outlive the sender.
  TargetSender(const SenderOptions& options, std::unique_ptr<RoutingPolicy> policy,
               AgentDirectory* directory, MetricsRegistry* metrics);
  ~TargetSender();
  TargetSender(const TargetSender&) = delete;
  TargetSender& operator=(const TargetSender&) = delete;

  // A target of `service`, one not in `avoid` if there is any. Targets that are out get a probe
  // now and then if `may_probe`. Throws Error(kUnavailable) when there is none.
  AgentState Choose(const std::string& service, const std::set<std::string>& avoid, bool may_probe);

  // Sends `request` to `agent` and returns its whole answer. Throws Error: outcome not_run only if
  // the agent has refused the attempt and will never run it.
  ServiceAnswer Deliver(const AgentState& agent, const ServiceRequest& request, Time deadline);

  // What became of an attempt sent at `sent` to that start of that agent: its answer, waited for
  // until `deadline` while it runs. Throws Error as Deliver does.
  ServiceAnswer Settle(const std::string& agent, const SeenQuestion& question, Time sent,
                       Time deadline);

  // When a refused caller of `service` should come back, from the load of its targets.
  Duration RetryAfter(const std::string& service) const;

 private:
  // Asks once; none when the agent could not be asked.
  std::optional<SeenAnswer> Ask(const AgentState& agent, SeenQuestion question, Time sent, Time now,
                                Time deadline) const;
  void Judge(const std::string& agent, Duration latency, const Error* error, int status, Time now);
  void RunWatch();

  const SenderOptions options_;
  const std::unique_ptr<RoutingPolicy> policy_;
  AgentDirectory* const directory_;
  Counter* const settled_;
  Counter* const unknown_;
  TargetJudge judge_;

  std::mutex mutex_;
  std::condition_variable stop_;
  bool stopping_ = false;
  Thread watch_;
};

// The question that settles `request` when it was sent.
SeenQuestion QuestionAbout(const ServiceRequest& request);

// Throws Error(kDeadlineExceeded), outcome `outcome`, when `deadline` is not after `now`.
void RequireTimeLeft(Time deadline, Time now, Outcome outcome);

}  // namespace turmericshift
