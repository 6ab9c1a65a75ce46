// Agent process of one worker: renews the worker's leases while a planner grants them, carries out
// orders, and reports running and ended tasks.
//
// One thread talks to the worker and one to the planner. Orders run on a thread pool, because a
// worker may leave an order unanswered for seconds.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "core/metrics.h"
#include "core/thread.h"
#include "core/thread_pool.h"
#include "servers/pool/agent_state.h"
#include "servers/pool/announcement_verifier.h"
#include "servers/pool/order_sender.h"
#include "servers/pool/planner_gate.h"
#include "servers/pool/planner_router.h"
#include "servers/pool/pool_view.h"

namespace turmericshift::pool {

struct PoolAgentOptions {
  std::string node;
  std::string zone;
  std::string incarnation;
  // How long the planner may hold back the answer to a poll. Its answer is at most this old on
  // arrival.
  Duration poll_wait = std::chrono::milliseconds(500);
  // Time after `poll_wait` at which an unanswered connection is considered lost.
  Duration poll_grace_period = std::chrono::milliseconds(700);
  // How long a hold waits for a run to end.
  Duration hold_wait = std::chrono::milliseconds(1000);
  // How long a poll of these topics waits for a change while they are followed closely.
  Duration members_wait = std::chrono::milliseconds(500);
  // How often the planner topic, and the members topic once it was needed, is read while a planner
  // that has confirmed its leadership answers.
  Duration idle_interval = std::chrono::seconds(30);
  // Time-out of one attempt of an order to the worker, which runs beside the agent and answers in
  // milliseconds. Three attempts fit into the time that a gang is given to start (1.3 s).
  Duration order_timeout = std::chrono::milliseconds(270);
  // Longest lease that the worker grants, by its own clock.
  Duration longest_lease = std::chrono::seconds(6);
};

class PoolAgent : public WorkerSink {
 public:
  PoolAgent(const PoolAgentOptions& options, KeyedLog* log, PoolWorker* worker,
            PlannerConnector* connector, MetricsRegistry* metrics);
  ~PoolAgent() override;
  PoolAgent(const PoolAgent&) = delete;
  PoolAgent& operator=(const PoolAgent&) = delete;

  void WorkerAnnounced(const WorkerAnnouncement& announcement) override;
  void WorkerLeft(const std::string& worker_id) override;

 private:
  // Tells the threads to end. They are joined when they are destroyed.
  void StopThreads();
  void RunWorkerLoop();
  void RunPlannerLoop();
  void RunUpdateLoop();
  // Sends one hold. Returns whether the planner should be informed immediately.
  bool HoldOnce(Duration wait);
  // Sends a hold that checks an unverified announcement, if there is one, and uses the announcement
  // if the answer verifies it. Returns whether the worker has answered.
  bool VerifyAnnouncement();
  void VerifyAnnouncements();
  // Acts on a changed announcement: `before` is what was known of the worker until then.
  void HandleWorkerChange(const WorkerFacts& before);
  // Reads the worker's lists at once and reports them to the planner.
  void HoldAndReport();
  // The newest planner known from the store or from a redirect.
  PlannerRecord NewestPlanner() const;
  // Connects to `planner`. Returns null if that fails while another planner answers.
  std::shared_ptr<PlannerClient> ConnectTo(const PlannerRecord& planner, bool other_answers,
                                           Time now);
  // Sends a report and carries out the orders that answer it within `limit`, which it returns. The
  // planner may hold the answer back for `wait`.
  AgentOrders ExchangeOnce(PlannerClient* client, Duration wait, Duration limit);
  // Follows the planner topic closely for a while, because the planner may have been replaced.
  void FollowPlanner(Time now);
  // Follows the members topic closely for a while, because this agent may have been removed from
  // it, or its planner is not in the planner topic.
  void FollowMembers(Time now);
  // Time-out of an exchange whose answer the planner may hold back for `wait`.
  Duration ExchangeTimeout(Duration wait) const;
  // Runs `work` on the pool for orders. Returns false if no thread can be started for it.
  bool SubmitOrder(std::function<void()> work);
  void ExecuteOrders(const AgentOrders& new_orders, Time until);
  void StartOne(const StartOrder& order, Time until);
  void StopOne(const RunId& run);
  void RequestUpdate();
  // Registers the agent in the members topic, so that a new planner waits for its report, or
  // removes it when its worker is gone.
  void EnsureMember(Time now);
  // Counts the agent as registered if the orders' planner has listed it.
  void AdoptListing(const AgentOrders& orders);
  // Whether a planner that began after this process did has listed the agent, so that it need not
  // register.
  bool ListedByPlanner(int64_t planner_epoch, Duration start_window) const;
  // Whether the agent may register without waiting for the planner to list it.
  bool RegistersItself(Time now) const;
  void SetRegistered(bool registered);
  void Register();
  // Removes the agent from the members topic. Tries again as long as other records get in between.
  void Deregister();
  bool WorkerIsGone() const;
  // Removes the agent if the members topic ends at `expected_end`. Returns whether another attempt
  // makes sense because the topic ends elsewhere.
  bool RemoveAt(Offset expected_end);
  void Pause(Duration pause);
  // Pauses after a call to the planner of `epoch` has failed: until a newer planner is announced if
  // the call was refused.
  void PauseAfterPlannerFailure(int64_t epoch, const Error& error);

  const PoolAgentOptions options_;
  const Time started_at_;
  KeyedLog* const log_;
  PoolWorker* const worker_;
  const OrderSender sender_;
  Counter& starts_;
  Counter& start_failures_;
  Distribution& start_seconds_;
  PlannerView planner_view_;
  MembersView members_;
  PlannerRouter router_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  AgentState state_;
  AnnouncementVerifier verifier_;
  std::shared_ptr<PlannerClient> client_;
  // Newest planner that a previous planner has redirected this agent to. Needed when the store is
  // out of reach.
  PlannerRecord redirected_planner_;
  // Lag that the planner stated in its newest orders.
  Duration planner_lag_{};
  // Epoch of the newest planner that has answered; 0: none.
  int64_t answering_epoch_ = 0;
  // When a planner last permitted starts, or the agent last became registered.
  Time starts_permitted_at_{};
  bool update_requested_ = false;
  bool stopping_ = false;
  // Held while the membership is checked and written.
  std::mutex member_mutex_;
  // Whether the agent is listed in the members topic beyond doubt. Nothing is started otherwise.
  std::atomic<bool> registered_{false};
  // Offset of the newest registration; 0 if a planner had listed the agent already.
  Offset registered_at_ = kNoOffset;
  Time deregistered_at_{};
  ThreadPool orders_;
  // Declared last, so that the threads end before the members they use are destroyed.
  Thread worker_thread_;
  Thread planner_thread_;
  Thread update_thread_;
};

}  // namespace turmericshift::pool
