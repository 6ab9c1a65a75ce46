#include "servers/pool/pool_agent.h"

#include <utility>

#include "core/error.h"
#include "core/logging.h"

namespace turmericshift::pool {
namespace {

constexpr int kOrderThreads = 4;
// A planner in another zone answers a connect within milliseconds.
constexpr Duration kConnectLimit = std::chrono::milliseconds(700);
// Pause after the worker or the planner could not be reached.
constexpr Duration kPause = std::chrono::milliseconds(100);
// A worker with ends to list answers a hold at once; no need to ask faster than the store keeps
// them.
constexpr Duration kBetweenHolds = std::chrono::milliseconds(20);
constexpr Duration kHoldPatience = std::chrono::milliseconds(800);
constexpr Duration kNewsTimeout = std::chrono::milliseconds(700);
constexpr Duration kCheckMemberEvery = std::chrono::seconds(2);
// A way through another entry is given up for the straight one after this, in case that is back.
constexpr Duration kStraightAgainAfter = std::chrono::seconds(5);
// A late planner is waited for so many times as long as it said, and so long at most: runs go on
// for 4 s without its word.
constexpr int kLatePatience = 2;
constexpr Duration kLongestLatePatience = std::chrono::milliseconds(1300);
constexpr Duration kAppendTimeout = std::chrono::milliseconds(1200);

}  // namespace

PoolAgent::PoolAgent(const PoolAgentOptions& options, KeyedLog* log, PoolWorker* worker,
                     PlannerConnector* connector, MetricsRegistry* metrics)
    : options_(options),
      log_(log),
      worker_(worker),
      sender_(worker, options.order_timeout),
      connector_(connector),
      starts_(metrics->counter("agent_starts")),
      start_failures_(metrics->counter("agent_start_failures")),
      start_seconds_(metrics->distribution("agent_start_seconds")),
      members_(log, options.members_wait),
      router_(options.node, options.zone, &members_, connector),
      state_(options.node, options.zone, options.incarnation),
      orders_("orders", kOrderThreads),
      worker_thread_("worker", [this] { TalkWithWorker(); }),
      planner_thread_("planner", [this] { TalkWithPlanner(); }),
      news_thread_("news", [this] { SendNews(); }) {}

PoolAgent::~PoolAgent() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
}

void PoolAgent::Pause(Duration pause) {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_for(lock, pause, [this] { return stopping_; });
}

void PoolAgent::WakeNews() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    news_ = true;
  }
  changed_.notify_all();
}

void PoolAgent::WorkerAnnounced(const WorkerAnnouncement& announcement) {
  bool news = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const WorkerFacts before = state_.worker();
    state_.HandleAnnouncement(announcement);
    const WorkerFacts& after = state_.worker();
    news = before.id != after.id || before.start_time_ms != after.start_time_ms ||
           before.draining != after.draining;
  }
  // A worker that has just come should not have to wait for the next poll to be of use.
  if (news) orders_.Submit([this] { EnsureMember(LeaseClock().Now()); });
  if (news) WakeNews();
}

void PoolAgent::WorkerLeft(const std::string& worker_id) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    state_.TakeLeft(worker_id);
  }
  orders_.Submit([this] { EnsureMember(LeaseClock().Now()); });
  WakeNews();
}

bool PoolAgent::HoldOnce(Duration wait) {
  HoldCall call;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const Time now = LeaseClock().Now();
    call = state_.NextHold(wait, now);
    state_.NoteLeaseSent(call.lease_until);
  }
  const Time sent = LeaseClock().Now();
  const HoldAnswer answer = worker_->Hold(call, wait + kHoldPatience);
  const std::lock_guard<std::mutex> lock(mutex_);
  const Time now = LeaseClock().Now();
  state_.NoteLeaseAnswered(call.lease_until, answer.answer, now);
  if (answer.answer == OrderAnswer::kAccepted) {
    return state_.HandleLists(answer.lists, call.fence, sent, now);
  }
  const bool was_reachable = state_.worker().reachable;
  state_.WorkerFailed(answer.answer);
  return was_reachable;
}

void PoolAgent::TalkWithWorker() {
  while (true) {
    bool planned = false;
    std::vector<RunId> uncertain;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (stopping_) return;
      planned = state_.epoch() > 0;
    }
    // A worker refuses whatever comes without the newest planner's number.
    if (!planned) {
      Pause(kPause);
      continue;
    }
    const bool news = HoldOnce(options_.hold_wait);
    if (news) WakeNews();
    bool reachable = false;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      uncertain = state_.UncertainRuns();
      reachable = state_.worker().reachable;
    }
    for (const RunId& run : uncertain) orders_.Submit([this, run] { StopOne(run); });
    Pause(reachable ? kBetweenHolds : kPause);
  }
}

void PoolAgent::TalkWithPlanner() {
  int64_t connected_epoch = 0;
  Time connected_at{};
  while (true) {
    std::shared_ptr<PlannerClient> port;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (stopping_) return;
      port = port_;
    }
    EnsureMember(LeaseClock().Now());
    const PlannerRecord planner = NewestPlanner();
    try {
      const Time now = LeaseClock().Now();
      if (port && planner.epoch > connected_epoch) port.reset();
      if (port && port->relayed() && now - connected_at > kStraightAgainAfter) port.reset();
      if (!port) {
        if (planner.address.empty()) throw Error(ErrorKind::kUnavailable, "no planner is known");
        port = router_.Connect(planner, kConnectLimit, now);
        connected_at = now;
        connected_epoch = planner.epoch;
        const std::lock_guard<std::mutex> lock(mutex_);
        port_ = port;
        state_.RaiseEpoch(planner.epoch);
        LogEvent(
            LogLevel::kInfo, "planner_connected",
            {{"epoch", planner.epoch}, {"address", planner.address}, {"relayed", port->relayed()}});
      }
      ExchangeOnce(port.get(), options_.poll_wait);
    } catch (const Error& error) {
      bool had_port = false;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        had_port = port_ != nullptr;
        port_.reset();
      }
      if (had_port) {
        LogEvent(LogLevel::kWarning, "planner_lost",
                 {{"epoch", connected_epoch}, {"error", error.what()}});
      }
      Pause(kPause);
    }
  }
}

PlannerRecord PoolAgent::NewestPlanner() const {
  const PlannerRecord read = members_.planner();
  const std::lock_guard<std::mutex> lock(mutex_);
  return told_of_.epoch > read.epoch ? told_of_ : read;
}

void PoolAgent::SendNews() {
  while (true) {
    std::shared_ptr<PlannerClient> port;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || news_; });
      if (stopping_) return;
      news_ = false;
      port = port_;
    }
    // Without a planner the news goes out with the first poll.
    if (!port) continue;
    try {
      ExchangeOnce(port.get(), Duration::zero());
    } catch (const Error& error) {
      // The poll that stands meanwhile repeats it.
      LogEvent(LogLevel::kWarning, "news_not_sent", {{"error", error.what()}});
    }
  }
}

void PoolAgent::ExchangeOnce(PlannerClient* port, Duration wait) {
  AgentReport report;
  Time sent{};
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    sent = LeaseClock().Now();
    report = state_.Report(wait, sent);
  }
  const AgentOrders orders = port->Exchange(report, AnswerLimit(wait));
  if (!orders.planner_address.empty()) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (orders.planner_epoch > told_of_.epoch) {
      told_of_ = {orders.planner_epoch, "", orders.planner_address};
    }
    throw Error(ErrorKind::kConflict, Outcome::kNotRun, "the pool is planned elsewhere now");
  }
  AgentOrders todo;
  bool new_planner = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const int64_t before = state_.epoch();
    state_.ReportDelivered(report);
    todo = state_.HandleOrders(orders, sent, LeaseClock().Now());
    planner_late_ = orders.lag;
    new_planner = state_.epoch() != before || report.epoch != state_.epoch();
  }
  if (new_planner) {
    // The planner uses the worker only after it has been read under its own number.
    orders_.Submit([this] {
      if (HoldOnce(Duration::zero())) WakeNews();
    });
  }
  CarryOut(todo, sent + orders.start_window);
}

// A planner that is late has not lost this agent: asked anew over another connection it would only
// have more to read.
Duration PoolAgent::AnswerLimit(Duration wait) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const Duration lag = std::min(kLatePatience * planner_late_, kLongestLatePatience);
  return wait > Duration::zero() ? wait + options_.poll_patience + lag : kNewsTimeout + lag;
}

void PoolAgent::CarryOut(const AgentOrders& todo, Time until) {
  for (const RunId& run : todo.stops) orders_.Submit([this, run] { StopOne(run); });
  for (const StartOrder& order : todo.starts) {
    orders_.Submit([this, order, until] { StartOne(order, until); });
  }
}

void PoolAgent::StartOne(const StartOrder& order, Time until) {
  std::optional<StartCall> call;
  std::string why;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const Time now = LeaseClock().Now();
    call = state_.PrepareStart(order, until, &why, now);
    if (call && !registered_.load()) {
      call.reset();
      why = "the agent is not among the members yet";
    }
    if (!call) {
      state_.StartNotSent(order.run, why);
    } else {
      state_.NoteLeaseSent(call->lease_until);
    }
  }
  const std::string task = TaskName(order.run.task);
  if (!call) {
    LogEvent(
        LogLevel::kWarning, "start_not_sent",
        {{"job", order.run.task.job}, {"task", task}, {"run", order.run.number}, {"reason", why}});
    return WakeNews();
  }
  const Time begun = LeaseClock().Now();
  const OrderAnswer answer = sender_.Start(*call);
  start_seconds_.Record(Seconds(LeaseClock().Now() - begun));
  (answer == OrderAnswer::kAccepted ? starts_ : start_failures_).Add();
  LogEvent(answer == OrderAnswer::kAccepted ? LogLevel::kInfo : LogLevel::kWarning,
           "start_answered",
           {{"job", order.run.task.job},
            {"task", task},
            {"run", order.run.number},
            {"epoch", call->fence},
            {"answer", OrderAnswerName(answer)}});
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    state_.NoteLeaseAnswered(call->lease_until, answer, LeaseClock().Now());
    state_.HandleStartAnswer(order.run, answer);
  }
  WakeNews();
}

void PoolAgent::StopOne(const RunId& run) {
  std::string worker_id;
  int64_t fence = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!state_.worker().reachable) {
      // Asked for again by the planner as long as it matters.
      state_.HandleStopAnswer(run, OrderAnswer::kNotListening, LeaseClock().Now());
      return;
    }
    worker_id = state_.worker().id;
    fence = state_.epoch();
  }
  const OrderAnswer answer = sender_.Stop(worker_id, run, fence);
  LogEvent(LogLevel::kInfo, "stop_answered",
           {{"job", run.task.job},
            {"task", TaskName(run.task)},
            {"run", run.number},
            {"epoch", fence},
            {"answer", OrderAnswerName(answer)}});
  const std::lock_guard<std::mutex> lock(mutex_);
  state_.HandleStopAnswer(run, answer, LeaseClock().Now());
}

void PoolAgent::EnsureMember(Time now) {
  const std::lock_guard<std::mutex> member_lock(member_mutex_);
  bool wanted = false;
  bool over = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    wanted = state_.may_run();
    over = state_.is_over();
  }
  // A process that has just started knows nothing of its worker; that is no reason to leave.
  if (!wanted && !over) return;
  if (wanted == registered_.load() && now - member_checked_ < kCheckMemberEvery) return;
  member_checked_ = now;
  const bool listed = members_.agents().count(options_.node) > 0;
  // Planners drop agents that were silent for long.
  if (wanted == registered_.load() && wanted == listed) return;
  try {
    log_->Append(kMembersTopic,
                 {{kAgentPrefix + options_.node, wanted ? options_.zone : "", kNoOffset}}, {},
                 kAppendTimeout);
    registered_.store(wanted);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      state_.SetMember(wanted);
    }
    WakeNews();
    LogEvent(LogLevel::kInfo, "agent_registered", {{"node", options_.node}, {"member", wanted}});
  } catch (const Error& error) {
    LogEvent(LogLevel::kWarning, "agent_not_registered", {{"error", error.what()}});
  }
}

}  // namespace turmericshift::pool
