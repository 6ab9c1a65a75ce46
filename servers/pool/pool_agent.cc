#include "servers/pool/pool_agent.h"

#include <utility>

#include "core/error.h"
#include "core/logging.h"
#include "servers/membership/removal_delay.h"

namespace turmericshift::pool {
namespace {

constexpr int kOrderThreads = 4;
// Time-out for connecting to the planner; a planner in another zone normally accepts a connection
// within milliseconds.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(700);
// Delay after the worker or the planner could not be reached.
constexpr Duration kRetryInterval = std::chrono::milliseconds(100);
// A worker with ends to report answers a hold immediately; asking faster than the store makes the
// ends durable has no use.
constexpr Duration kHoldInterval = std::chrono::milliseconds(20);
constexpr Duration kHoldGracePeriod = std::chrono::milliseconds(800);
constexpr Duration kUpdateTimeout = std::chrono::milliseconds(700);
constexpr Duration kMemberCheckInterval = std::chrono::seconds(2);
// How long the members topic is followed closely after the last reason for it.
constexpr Duration kCloseFollowPeriod = std::chrono::seconds(1);
constexpr Duration kMembersRefreshTimeout = std::chrono::milliseconds(400);
// A registered agent whose planner permits no starts for this long looks whether it is still
// listed. New planners have read the members by then; hundreds of agents that read them as well
// would hold the planner up.
constexpr Duration kStartsRefusedLimit = std::chrono::seconds(3);
// An agent that no planner has answered for this long also looks in the members topic: older
// planners announce themselves only there.
constexpr Duration kPlannerSearchPeriod = std::chrono::seconds(4);
// A planner that begins after a loss of power finds the agents listed, and lists them again within
// this time. If all of them registered anew instead, their appends would hold up its announcement:
// the store carries the appends to a topic out one after the other.
constexpr Duration kRegistrationDelay = std::chrono::seconds(2);
// Delay before the same planner is called again after it has refused a call because it does not
// plan. Hundreds of agents would otherwise keep a VM busy that may be about to plan.
constexpr Duration kRefusedRetryInterval = std::chrono::milliseconds(500);
// A relayed connection is replaced after this time, in case the direct path works again.
constexpr Duration kDirectRetryInterval = std::chrono::seconds(5);
// An overloaded planner is given this multiple of its stated lag as additional time, up to the
// maximum below. Runs continue for 4 s without its answer.
constexpr int kLagTimeoutFactor = 2;
constexpr Duration kMaxLagTimeout = std::chrono::milliseconds(1300);
// Delay before an agent whose planner answers tries again to reach the one that has been announced
// since.
constexpr Duration kNewPlannerRetryInterval = std::chrono::seconds(1);
constexpr Duration kAppendTimeout = std::chrono::milliseconds(1200);

// The worker has applied the end of the lease, which refers to the clock of the incarnation that
// the call was meant for, to its own clock.
void LogLeaseOfOtherIncarnation(const HoldCall& call, const WorkerLists& lists) {
  const bool known = call.worker_start_time_ms != 0;
  if (!known || !call.lease_until || call.worker_start_time_ms == lists.start_time_ms) return;
  LogEvent(LogLevel::kWarning, "lease_of_other_incarnation",
           {{"worker", call.worker_id},
            {"born_ms", call.worker_start_time_ms},
            {"now_born_ms", lists.start_time_ms},
            {"fence", call.fence},
            {"lease_until_ms", *call.lease_until},
            {"clock_ms", lists.clock}});
}

}  // namespace

PoolAgent::PoolAgent(const PoolAgentOptions& options, KeyedLog* log, PoolWorker* worker,
                     PlannerConnector* connector, MetricsRegistry* metrics)
    : options_(options),
      started_at_(LeaseClock().Now()),
      log_(log),
      worker_(worker),
      sender_(worker, options.order_timeout),
      starts_(metrics->counter("agent_starts")),
      start_failures_(metrics->counter("agent_start_failures")),
      start_seconds_(metrics->distribution("agent_start_seconds")),
      planner_view_(log, options.members_wait, options.idle_interval),
      members_(log, options.members_wait, options.idle_interval, FirstRead::kOnDemand),
      router_(
          options.node, options.zone, &members_, [this] { return NewestPlanner().epoch; },
          connector),
      state_(options.node, options.zone, options.incarnation, options.longest_lease),
      orders_("orders", kOrderThreads) {
  state_.NoteFormerProcess(started_at_);
  try {
    worker_thread_ = Thread(ThreadRole::kEssential, "worker", [this] { RunWorkerLoop(); });
    planner_thread_ = Thread(ThreadRole::kEssential, "planner", [this] { RunPlannerLoop(); });
    update_thread_ = Thread(ThreadRole::kEssential, "news", [this] { RunUpdateLoop(); });
  } catch (...) {
    // The destructor does not run, and nothing else tells the started threads to end.
    StopThreads();
    throw;
  }
}

PoolAgent::~PoolAgent() { StopThreads(); }

void PoolAgent::StopThreads() {
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

void PoolAgent::FollowPlanner(Time now) {
  planner_view_.FollowCloselyUntil(now + kCloseFollowPeriod, now);
}

void PoolAgent::FollowMembers(Time now) {
  members_.FollowCloselyUntil(now + kCloseFollowPeriod, now);
}

void PoolAgent::RequestUpdate() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    update_requested_ = true;
  }
  changed_.notify_all();
}

void PoolAgent::WorkerAnnounced(const WorkerAnnouncement& announcement) {
  WorkerFacts before;
  bool verified = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    before = state_.worker();
    verified = verifier_.IsVerified(announcement, before.start_time_ms);
    if (verified) {
      state_.HandleAnnouncement(announcement);
    } else {
      verifier_.Add(announcement);
    }
  }
  if (verified) return HandleWorkerChange(before);
  SubmitOrder([this] { VerifyAnnouncements(); });
  SubmitOrder([this] { EnsureMember(LeaseClock().Now()); });
}

void PoolAgent::VerifyAnnouncements() {
  while (VerifyAnnouncement()) {
  }
}

bool PoolAgent::VerifyAnnouncement() {
  HoldCall call;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    // A worker refuses calls without the newest planner's token.
    if (stopping_ || state_.fence() == 0) return false;
    const std::optional<std::string> id = verifier_.NextId();
    if (!id) return false;
    call.worker_id = *id;
    call.fence = state_.fence();
  }
  const Time sent = LeaseClock().Now();
  const HoldAnswer answer = worker_->Hold(call, kHoldGracePeriod);
  WorkerFacts before;
  bool report_needed = false;
  bool more = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    before = state_.worker();
    const bool accepted = answer.answer == OrderAnswer::kAccepted;
    if (accepted) {
      report_needed = state_.HandleLists(answer.lists, call.fence, sent, LeaseClock().Now());
    }
    const size_t kept = verifier_.unverified();
    const std::optional<WorkerAnnouncement> announcement =
        verifier_.HandleAnswer(call.worker_id, answer);
    if (announcement) state_.HandleAnnouncement(*announcement);
    more = verifier_.unverified() < kept;
  }
  HandleWorkerChange(before);
  if (report_needed) RequestUpdate();
  return more;
}

void PoolAgent::HandleWorkerChange(const WorkerFacts& before) {
  bool report_needed = false;
  bool read_needed = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const WorkerFacts& after = state_.worker();
    const bool new_incarnation = before.start_time_ms != after.start_time_ms;
    report_needed = before.id != after.id || new_incarnation || before.draining != after.draining;
    read_needed = new_incarnation && state_.fence() > 0;
  }
  // The worker refuses delayed orders for its former incarnation from its first hold on.
  if (read_needed) SubmitOrder([this] { HoldAndReport(); });
  // The planner is informed immediately, so that it can use a new worker before the next poll.
  if (report_needed) SubmitOrder([this] { EnsureMember(LeaseClock().Now()); });
  if (report_needed) RequestUpdate();
}

void PoolAgent::WorkerLeft(const std::string& worker_id) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    state_.HandleDeparture(worker_id);
    if (verifier_.Remove(worker_id)) state_.NoteUnknownWorkerLeft();
  }
  SubmitOrder([this] { EnsureMember(LeaseClock().Now()); });
  RequestUpdate();
}

bool PoolAgent::HoldOnce(Duration wait) {
  HoldCall call;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const Time now = LeaseClock().Now();
    state_.SetSuccessorAnnounced(verifier_.unverified() > 0);
    call = state_.NextHold(wait, now);
    state_.NoteLeaseSent(call.lease_until);
  }
  const Time sent = LeaseClock().Now();
  const HoldAnswer answer = worker_->Hold(call, wait + kHoldGracePeriod);
  const std::lock_guard<std::mutex> lock(mutex_);
  const Time now = LeaseClock().Now();
  state_.NoteLeaseAnswered(call.lease_until, answer.answer, now);
  if (answer.answer == OrderAnswer::kAccepted) {
    LogLeaseOfOtherIncarnation(call, answer.lists);
    return state_.HandleLists(answer.lists, call.fence, sent, now);
  }
  const bool was_reachable = state_.worker().reachable;
  state_.HoldFailed(call, answer.answer);
  return was_reachable && !state_.worker().reachable;
}

void PoolAgent::HoldAndReport() {
  if (HoldOnce(Duration::zero())) RequestUpdate();
}

void PoolAgent::RunWorkerLoop() {
  while (true) {
    bool has_planner = false;
    std::vector<RunId> uncertain;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (stopping_) return;
      has_planner = state_.fence() > 0;
    }
    // A worker refuses calls without the newest planner's epoch.
    if (!has_planner) {
      Pause(kRetryInterval);
      continue;
    }
    VerifyAnnouncements();
    const bool report_needed = HoldOnce(options_.hold_wait);
    if (report_needed) RequestUpdate();
    bool reachable = false;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      uncertain = state_.UncertainRuns();
      reachable = state_.worker().reachable;
    }
    for (const RunId& run : uncertain) SubmitOrder([this, run] { StopOne(run); });
    Pause(reachable ? kHoldInterval : kRetryInterval);
  }
}

void PoolAgent::RunPlannerLoop() {
  int64_t connected_epoch = 0;
  Time connected_at{};
  // The newest planner that this agent has tried to reach, and when.
  int64_t tried_epoch = 0;
  Time tried_at{};
  Time answered_at = LeaseClock().Now();
  while (true) {
    std::shared_ptr<PlannerClient> client;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (stopping_) return;
      client = client_;
    }
    EnsureMember(LeaseClock().Now());
    const PlannerRecord planner = NewestPlanner();
    try {
      const Time now = LeaseClock().Now();
      if (client && client->relayed() && now - connected_at > kDirectRetryInterval) client.reset();
      const bool tried = planner.epoch == tried_epoch && now - tried_at < kNewPlannerRetryInterval;
      std::shared_ptr<PlannerClient> other;
      if (!client || (planner.epoch > connected_epoch && !tried)) {
        tried_epoch = planner.epoch;
        other = ConnectTo(planner, client != nullptr, now);
        tried_at = LeaseClock().Now();
      }
      if (other) {
        client = other;
        connected_at = now;
        connected_epoch = planner.epoch;
        const std::lock_guard<std::mutex> lock(mutex_);
        client_ = client;
      }
      // The first answer of a planner is not held back: its epoch is obeyed from then on.
      // It gets as much time as any poll, because a new planner has all agents to answer.
      const AgentOrders orders =
          ExchangeOnce(client.get(), other ? Duration::zero() : options_.poll_wait,
                       ExchangeTimeout(options_.poll_wait));
      connected_epoch = orders.epoch;
      answered_at = LeaseClock().Now();
    } catch (const Error& error) {
      const Time now = LeaseClock().Now();
      FollowPlanner(now);
      const bool only_listed = members_.planner().epoch > planner_view_.planner().epoch;
      if (only_listed || now - answered_at > kPlannerSearchPeriod) FollowMembers(now);
      bool was_connected = false;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        was_connected = client_ != nullptr;
        client_.reset();
      }
      if (was_connected) {
        LogEvent(LogLevel::kWarning, "planner_lost",
                 {{"epoch", connected_epoch}, {"error", error.what()}});
      }
      PauseAfterPlannerFailure(planner.epoch, error);
    }
  }
}

// Another writer may have announced a planner that does not exist, so an agent leaves a planner
// that answers only for one that it can reach. If the former planner has been replaced, its leases
// end with the store's confirmation of its leadership, on which its successor waits.
std::shared_ptr<PlannerClient> PoolAgent::ConnectTo(const PlannerRecord& planner,
                                                    bool other_answers, Time now) {
  if (planner.address.empty()) throw Error(ErrorKind::kUnavailable, "no planner is known");
  std::shared_ptr<PlannerClient> client;
  try {
    client = router_.Connect(planner, kConnectTimeout, now);
  } catch (const Error& error) {
    if (!other_answers) throw;
    FollowPlanner(now);
    if (members_.planner().epoch > planner_view_.planner().epoch) FollowMembers(now);
    LogEvent(LogLevel::kInfo, "new_planner_not_reached",
             {{"epoch", planner.epoch}, {"address", planner.address}, {"error", error.what()}});
    return nullptr;
  }
  LogEvent(
      LogLevel::kInfo, "planner_connected",
      {{"epoch", planner.epoch}, {"address", planner.address}, {"relayed", client->relayed()}});
  return client;
}

void PoolAgent::PauseAfterPlannerFailure(int64_t epoch, const Error& error) {
  const bool refused = error.kind() == ErrorKind::kConflict && error.outcome() == Outcome::kNotRun;
  if (!refused) return Pause(kRetryInterval);
  if (NewestPlanner().epoch > epoch) return;
  planner_view_.AwaitNewerThan(epoch, kRefusedRetryInterval);
}

PlannerRecord PoolAgent::NewestPlanner() const {
  const PlannerRecord announced = planner_view_.planner();
  const PlannerRecord listed = members_.planner();
  const PlannerRecord& read = listed.epoch > announced.epoch ? listed : announced;
  const std::lock_guard<std::mutex> lock(mutex_);
  return redirected_planner_.epoch > read.epoch ? redirected_planner_ : read;
}

void PoolAgent::RunUpdateLoop() {
  while (true) {
    std::shared_ptr<PlannerClient> client;
    {
      std::unique_lock<std::mutex> lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || update_requested_; });
      if (stopping_) return;
      update_requested_ = false;
      client = client_;
    }
    // Without a connection to a planner, the update is sent with the first poll.
    if (!client) continue;
    try {
      ExchangeOnce(client.get(), Duration::zero(), ExchangeTimeout(Duration::zero()));
    } catch (const Error& error) {
      // The next poll includes the same information.
      LogEvent(LogLevel::kWarning, "news_not_sent", {{"error", error.what()}});
    }
  }
}

AgentOrders PoolAgent::ExchangeOnce(PlannerClient* client, Duration wait, Duration limit) {
  AgentReport report;
  Time sent{};
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    sent = LeaseClock().Now();
    report = state_.Report(wait, sent);
  }
  const AgentOrders orders = client->Exchange(report, limit);
  if (!orders.planner_address.empty()) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (orders.planner_epoch > redirected_planner_.epoch) {
      redirected_planner_ = {orders.planner_epoch, "", orders.planner_address};
    }
    throw Error(ErrorKind::kConflict, Outcome::kNotRun, "the pool is planned elsewhere now");
  }
  AgentOrders new_orders;
  bool starts_refused = false;
  bool members_doubtful = false;
  bool read_needed = false;
  bool report_needed = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    state_.ReportDelivered(report);
    new_orders = state_.HandleOrders(orders, sent, LeaseClock().Now());
    planner_lag_ = orders.lag;
    answering_epoch_ = std::max(answering_epoch_, orders.epoch);
    const Time now = LeaseClock().Now();
    starts_refused = orders.start_window <= Duration::zero();
    if (!starts_refused) starts_permitted_at_ = now;
    members_doubtful = now - starts_permitted_at_ > kStartsRefusedLimit;
    read_needed = !state_.is_read();
    report_needed = state_.is_read() && report.epoch != state_.epoch();
  }
  if (!registered_.load()) AdoptListing(orders);
  // The planner can't confirm its leadership, has not read the members yet, or has removed this
  // agent from them.
  if (starts_refused && registered_.load()) FollowPlanner(LeaseClock().Now());
  if (members_doubtful && registered_.load()) FollowMembers(LeaseClock().Now());
  // The planner uses the worker only after the worker has been read under the token that this
  // planner has assigned.
  if (read_needed) SubmitOrder([this] { HoldAndReport(); });
  if (report_needed) RequestUpdate();
  ExecuteOrders(new_orders, sent + orders.start_window);
  return orders;
}

// An overloaded planner has not lost this agent: a repeated request over a new connection would
// only add to its load.
Duration PoolAgent::ExchangeTimeout(Duration wait) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const Duration lag = std::min(kLagTimeoutFactor * planner_lag_, kMaxLagTimeout);
  return wait > Duration::zero() ? wait + options_.poll_grace_period + lag : kUpdateTimeout + lag;
}

bool PoolAgent::SubmitOrder(std::function<void()> work) {
  try {
    orders_.Submit(std::move(work));
    return true;
  } catch (const Error&) {
    // The pool has logged it. The agent's loops and its planner repeat what is still needed.
    return false;
  }
}

void PoolAgent::ExecuteOrders(const AgentOrders& new_orders, Time until) {
  for (const RunId& run : new_orders.stops) {
    if (SubmitOrder([this, run] { StopOne(run); })) continue;
    const std::lock_guard<std::mutex> lock(mutex_);
    state_.HandleStopAnswer(run, OrderAnswer::kNotListening, LeaseClock().Now());
  }
  for (const StartOrder& order : new_orders.starts) {
    if (SubmitOrder([this, order, until] { StartOne(order, until); })) continue;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      state_.StartNotSent(order.run, "the agent lacks threads");
    }
    RequestUpdate();
  }
}

void PoolAgent::StartOne(const StartOrder& order, Time until) {
  std::optional<StartCall> call;
  std::string reason;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const Time now = LeaseClock().Now();
    call = state_.PrepareStart(order, until, &reason, now);
    if (call && !registered_.load()) {
      call.reset();
      reason = "the agent is not among the members yet";
    }
    if (!call) {
      state_.StartNotSent(order.run, reason);
    } else {
      state_.NoteStartSent();
    }
  }
  const std::string task = TaskName(order.run.task);
  if (!call) {
    LogEvent(LogLevel::kWarning, "start_not_sent",
             {{"job", order.run.task.job},
              {"task", task},
              {"run", order.run.number},
              {"ordered_for_ms", order.worker_start_time_ms},
              {"reason", reason}});
    return RequestUpdate();
  }
  const Time started_at = LeaseClock().Now();
  const StartAnswer start_answer = sender_.Start(*call);
  const OrderAnswer answer = start_answer.answer;
  start_seconds_.Record(Seconds(LeaseClock().Now() - started_at));
  (answer == OrderAnswer::kAccepted ? starts_ : start_failures_).Add();
  LogEvent(answer == OrderAnswer::kAccepted ? LogLevel::kInfo : LogLevel::kWarning,
           "start_answered",
           {{"job", order.run.task.job},
            {"task", task},
            {"run", order.run.number},
            {"worker", call->worker_id},
            {"born_ms", call->worker_start_time_ms},
            {"fence", call->fence},
            {"answer", OrderAnswerName(answer)}});
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    state_.NoteStartAnswered(*call, start_answer, LeaseClock().Now());
    state_.HandleStartAnswer(order.run, answer);
    if (state_.worker().start_time_ms != call->worker_start_time_ms) {
      LogEvent(LogLevel::kWarning, "order_of_former_incarnation",
               {{"job", order.run.task.job},
                {"task", task},
                {"run", order.run.number},
                {"born_ms", call->worker_start_time_ms},
                {"now_born_ms", state_.worker().start_time_ms},
                {"fence", call->fence},
                {"answer", OrderAnswerName(answer)}});
    }
  }
  RequestUpdate();
}

void PoolAgent::StopOne(const RunId& run) {
  std::string worker_id;
  int64_t fence = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!state_.worker().reachable) {
      // The planner repeats the stop as long as it is needed.
      state_.HandleStopAnswer(run, OrderAnswer::kNotListening, LeaseClock().Now());
      return;
    }
    worker_id = state_.worker().id;
    fence = state_.fence();
  }
  const OrderAnswer answer = sender_.Stop(worker_id, run, fence);
  LogEvent(LogLevel::kInfo, "stop_answered",
           {{"job", run.task.job},
            {"task", TaskName(run.task)},
            {"run", run.number},
            {"fence", fence},
            {"answer", OrderAnswerName(answer)}});
  const std::lock_guard<std::mutex> lock(mutex_);
  state_.HandleStopAnswer(run, answer, LeaseClock().Now());
}

void PoolAgent::EnsureMember(Time now) {
  const std::lock_guard<std::mutex> member_lock(member_mutex_);
  bool wanted = false;
  bool gone = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    // Registering takes a call to the store, so it does not wait until a worker is verified.
    wanted = state_.may_host_runs(now) || verifier_.unverified() > 0;
    gone = state_.is_gone(now);
  }
  // A process that has just started does not know its worker yet, which is no reason to deregister.
  if (!wanted && !gone) return;
  // An earlier process of this agent may have left it listed.
  if (gone && !wanted) members_.Refresh(kMemberCheckInterval, kMembersRefreshTimeout, now);
  const std::shared_ptr<const Membership> membership = members_.membership();
  const bool listed = membership->agents.count(options_.node) > 0;
  // Planners remove agents from which nothing has been received for
  // ElectorOptions::agent_silence_limit.
  if (registered_.load() && !listed && membership->end > registered_at_) SetRegistered(false);
  if (wanted) {
    if (!registered_.load() && RegistersItself(now)) Register();
    return;
  }
  if (!registered_.load() && !listed) return;
  if (!registered_.load() && now - deregistered_at_ < kMemberCheckInterval) return;
  deregistered_at_ = now;
  Deregister();
}

void PoolAgent::AdoptListing(const AgentOrders& orders) {
  // Whoever registers or deregisters the agent at this moment decides; the next answer tells again.
  const std::unique_lock<std::mutex> member_lock(member_mutex_, std::try_to_lock);
  if (!member_lock.owns_lock() || !ListedByPlanner(orders.epoch, orders.start_window)) return;
  LogEvent(LogLevel::kInfo, "agent_listed", {{"node", options_.node}, {"epoch", orders.epoch}});
  registered_at_ = 0;
  SetRegistered(true);
}

// The planner permits starts only to agents that are listed after its announcement. A removal that
// the agent's former process sent before this process began holds only if the topic has not changed
// since, so the announcement has voided it.
bool PoolAgent::ListedByPlanner(int64_t planner_epoch, Duration start_window) const {
  const std::optional<int64_t> first_epoch = planner_view_.first_epoch();
  // A planner that announces itself only in the members topic leaves the planner topic empty.
  if (!first_epoch || *first_epoch == 0 || planner_epoch <= *first_epoch) return false;
  return start_window > Duration::zero() && deregistered_at_ == Time{};
}

bool PoolAgent::RegistersItself(Time now) const {
  if (now - started_at_ > kRegistrationDelay || deregistered_at_ != Time{}) return true;
  const std::optional<int64_t> first_epoch = planner_view_.first_epoch();
  if (!first_epoch) return false;
  if (*first_epoch == 0) return true;
  const std::lock_guard<std::mutex> lock(mutex_);
  return answering_epoch_ == *first_epoch;
}

void PoolAgent::SetRegistered(bool registered) {
  registered_.store(registered);
  const std::lock_guard<std::mutex> lock(mutex_);
  state_.SetMember(registered);
  if (registered) starts_permitted_at_ = LeaseClock().Now();
}

void PoolAgent::Register() {
  try {
    const AppendResult result =
        log_->Append(kMembersTopic, {{kAgentPrefix + options_.node, options_.zone, kNoOffset}}, {},
                     kAppendTimeout);
    registered_at_ = result.first;
  } catch (const Error& error) {
    LogEvent(LogLevel::kWarning, "agent_not_registered", {{"error", error.what()}});
    return;
  }
  SetRegistered(true);
  RequestUpdate();
  LogEvent(LogLevel::kInfo, "agent_registered", {{"node", options_.node}, {"member", true}});
}

void PoolAgent::Deregister() {
  SetRegistered(false);
  RequestUpdate();
  for (int attempt = 1;; ++attempt) {
    members_.Refresh(Duration::zero(), kMembersRefreshTimeout, LeaseClock().Now());
    const std::shared_ptr<const Membership> membership = members_.membership();
    if (!WorkerIsGone() || membership->agents.count(options_.node) == 0) return;
    if (!RemoveAt(membership->end) || attempt == membership::kRemovalAttempts) return;
    // Not shortened by a stop: a planner waits for a listed agent, whether it still runs or not.
    std::this_thread::sleep_for(membership::RemovalDelay(options_.node, attempt));
  }
}

bool PoolAgent::WorkerIsGone() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return state_.is_gone(LeaseClock().Now());
}

// The store may carry the removal out late. Its condition fails once the agent, or another process
// of it, has registered again; until then nothing is started.
bool PoolAgent::RemoveAt(Offset expected_end) {
  try {
    log_->Append(kMembersTopic, {{kAgentPrefix + options_.node, "", kNoOffset}},
                 {expected_end, "", 0, 0}, kAppendTimeout);
    LogEvent(LogLevel::kInfo, "agent_registered", {{"node", options_.node}, {"member", false}});
  } catch (const Error& error) {
    LogEvent(LogLevel::kWarning, "agent_not_deregistered", {{"error", error.what()}});
    return error.kind() == ErrorKind::kConflict;
  }
  return false;
}

}  // namespace turmericshift::pool
