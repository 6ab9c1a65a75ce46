// The process beside one worker: keeps its leases while a planner vouches for them, carries orders
// out, reports what runs and how it ended.
//
// One thread talks with the worker, one with the planner; orders run on a few more, since a worker
// may leave one unanswered for seconds.
#pragma once

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>

#include "core/metrics.h"
#include "core/thread.h"
#include "core/thread_pool.h"
#include "servers/pool/agent_state.h"
#include "servers/pool/order_sender.h"
#include "servers/pool/planner_gate.h"
#include "servers/pool/planner_router.h"
#include "servers/pool/pool_view.h"

namespace turmericshift::pool {

struct PoolAgentOptions {
  std::string node;
  std::string zone;
  std::string incarnation;
  // How long a poll waits at the planner. A planner's word is at most this old when it arrives.
  Duration poll_wait = std::chrono::milliseconds(500);
  // More than this without an answer and the connection counts as lost.
  Duration poll_patience = std::chrono::milliseconds(700);
  // How long a look at the worker waits for an end.
  Duration hold_wait = std::chrono::milliseconds(1000);
  // How long a look at the list of members waits for a change.
  Duration members_wait = std::chrono::seconds(4);
  // One try of an order to the worker, which stands beside the agent and answers in milliseconds.
  // Three of them stay within the time that a gang is given to begin (1.3 s).
  Duration order_timeout = std::chrono::milliseconds(270);
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
  void TalkWithWorker();
  void TalkWithPlanner();
  void SendNews();
  // One hold; returns whether the planner should hear of it at once.
  bool HoldOnce(Duration wait);
  // One exchange over `port`.
  PlannerRecord NewestPlanner() const;
  void ExchangeOnce(PlannerClient* port, Duration wait);
  // How long an answer is waited for that the planner may hold back for `wait`.
  Duration AnswerLimit(Duration wait) const;
  void CarryOut(const AgentOrders& todo, Time until);
  void StartOne(const StartOrder& order, Time until);
  void StopOne(const RunId& run);
  void WakeNews();
  // Has the agent stand in the store's list of members, so that a new planner waits for it.
  void EnsureMember(Time now);
  void Pause(Duration pause);

  const PoolAgentOptions options_;
  KeyedLog* const log_;
  PoolWorker* const worker_;
  const OrderSender sender_;
  PlannerConnector* const connector_;
  Counter& starts_;
  Counter& start_failures_;
  Distribution& start_seconds_;
  MembersView members_;
  PlannerRouter router_;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  AgentState state_;
  std::shared_ptr<PlannerClient> port_;
  // The newest planner that one before it has told of; the store may be out of reach.
  PlannerRecord told_of_;
  // How far the planner said that it is behind.
  Duration planner_late_{};
  bool news_ = false;
  bool stopping_ = false;
  // Held while the membership is looked at and written.
  std::mutex member_mutex_;
  std::atomic<bool> registered_{false};
  Time member_checked_{};
  ThreadPool orders_;
  // Last, so that they end before what they use.
  Thread worker_thread_;
  Thread planner_thread_;
  Thread news_thread_;
};

}  // namespace turmericshift::pool
