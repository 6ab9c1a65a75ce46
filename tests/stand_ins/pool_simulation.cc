#include "tests/stand_ins/pool_simulation.h"

#include <algorithm>
#include <utility>

#include "core/error.h"

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTick = std::chrono::milliseconds(10);
// Agents send a hold call to their worker every 50 ms; updates are reported with the next tick.
constexpr int kTicksBetweenHoldCalls = 5;
// A stop takes half of the time allowed for it.
constexpr int kStopTimeDivisor = 2;
constexpr Duration kPollWait = std::chrono::milliseconds(500);
constexpr Duration kPollTimeout = std::chrono::milliseconds(1200);
constexpr Duration kMaxLagAllowance = std::chrono::milliseconds(1300);
constexpr Duration kAdviceDelay = std::chrono::milliseconds(100);
constexpr Duration kTicketValid = std::chrono::milliseconds(3000);
constexpr int64_t kWallStartMs = 1'700'000'000'000;

}  // namespace

struct PoolSimulation::Worker {
  struct Live {
    RunId run;
    std::string checkpoint;
    Time started{};
    Duration worked{};
    Time incomplete_since{};
    std::optional<Time> stop_at;
  };

  SimulatedWorker spec;
  std::unique_ptr<AgentState> agent;
  int64_t start_time_ms = 0;
  int64_t sequence = 0;
  int64_t fence = 0;
  WorkerMillis lease_until = 0;
  int64_t ends = 0;
  bool draining = false;
  bool stuck = false;
  std::map<RunId, Live> live;
  std::map<int64_t, EndedTask> ended;
  std::map<TaskId, int64_t> newest_over;
  // When the outstanding poll was sent; empty if there is none.
  std::optional<Time> poll_sent;
  // The agent has an update that it must report to the planner immediately.
  bool has_update = false;
  Duration planner_lag{};
};

PoolSimulation::PoolSimulation(const std::vector<SimulatedWorker>& workers,
                               const OperatorState& operators, const PoolBounds& bounds)
    : bounds_(bounds),
      options_(PlannerOptionsFor(bounds)),
      operators_(operators),
      now_(Time(std::chrono::hours(1))) {
  std::set<std::string> nodes;
  for (const SimulatedWorker& spec : workers) {
    auto worker = std::make_unique<Worker>();
    worker->spec = spec;
    worker->start_time_ms = 1;
    workers_[spec.node] = std::move(worker);
    RestartAgent(spec.node);
    nodes.insert(spec.node);
  }
  planner_ = std::make_unique<PoolPlanner>(options_, epoch_, job_table_, nodes, now_);
  planner_->ConfirmLeadership(now_);
}

PoolSimulation::~PoolSimulation() = default;

PoolSimulation::Worker& PoolSimulation::worker(const std::string& node) {
  return *workers_.at(node);
}

int64_t PoolSimulation::wall_ms() const {
  return kWallStartMs + duration_cast<std::chrono::milliseconds>(now_.time_since_epoch()).count();
}

void PoolSimulation::Submit(const JobSpec& spec) {
  JobSpec accepted = spec;
  accepted.accepted_ms = wall_ms();
  specs_[spec.id] = accepted;
  planner_->Submit(accepted);
}

bool PoolSimulation::Cancel(const std::string& id) {
  return planner_->Cancel(id, wall_ms()).job_exists;
}

void PoolSimulation::RunFor(Duration time) {
  const Time end = now_ + time;
  while (now_ < end) Tick();
}

bool PoolSimulation::RunUntil(const std::string& id, JobState state, Duration limit) {
  const Time end = now_ + limit;
  while (now_ < end) {
    if (StateOf(id) == state) return true;
    Tick();
  }
  return StateOf(id) == state;
}

JobState PoolSimulation::StateOf(const std::string& id) const {
  const StoredJob* entry = job_table_.Find(id);
  return entry == nullptr ? JobState::kQueued : entry->progress.state;
}

std::vector<SimulatedRun> PoolSimulation::RunsOf(const std::string& job) const {
  std::vector<SimulatedRun> found;
  for (const SimulatedRun& run : runs_) {
    if (run.run.task.job == job) found.push_back(run);
  }
  return found;
}

void PoolSimulation::ReplacePlanner() {
  std::set<std::string> nodes;
  for (const auto& row : workers_) nodes.insert(row.first);
  planner_ = std::make_unique<PoolPlanner>(options_, ++epoch_, job_table_, nodes, now_);
  planner_->ConfirmLeadership(now_);
}

void PoolSimulation::RestartWorker(const std::string& node) {
  Worker& one = worker(node);
  const std::map<RunId, Worker::Live> lost = one.live;
  for (const auto& row : lost) EndRun(&one, row.first, EndKind::kLeaseExpired);
  ForgetUnreportedEnds(one);
  one.start_time_ms += 1;
  one.sequence = 0;
  one.fence = 0;
  one.lease_until = 0;
  one.ends = 0;
  one.ended.clear();
  one.newest_over.clear();
}

// Ends that were not acknowledged before the worker died or its lease expired are forgotten:
// running their tasks again is correct.
void PoolSimulation::ForgetUnreportedEnds(const Worker& worker) {
  for (const auto& row : worker.ended) {
    if (row.second.kind == EndKind::kDone) done_.erase(row.second.run.task);
  }
}

void PoolSimulation::RestartAgent(const std::string& node) {
  Worker& one = worker(node);
  one.agent = std::make_unique<AgentState>(node, one.spec.zone, std::to_string(++incarnations_));
  one.agent->SetMember(true);
}

void PoolSimulation::Drain(const std::string& node) { worker(node).draining = true; }

void PoolSimulation::SetStuck(const std::string& node, bool stuck) { worker(node).stuck = stuck; }

void PoolSimulation::SetOperators(const OperatorState& operators) { operators_ = operators; }

const StepSpec* PoolSimulation::StepOf(const TaskId& task) const {
  return &specs_.at(task.job).steps.at(static_cast<size_t>(task.step));
}

Duration PoolSimulation::DurationOf(const TaskId& task) const {
  return actual_duration ? actual_duration(task) : StepOf(task)->estimate;
}

void PoolSimulation::Tick() {
  now_ += kTick;
  ++ticks_;
  TickStore();
  for (auto& row : workers_) TickWorker(row.second.get());
  EndBrokenGangs();
  for (auto& row : workers_) TickAgent(row.second.get());
  if (!planner_paused_) {
    planner_->SetOperatorState(std::make_shared<OperatorState>(operators_), now_);
    planner_->NoteDurable();
    planner_->Plan(wall_ms(), now_);
    ReadReports();
  }
  TickAdvice();
}

void PoolSimulation::TickAdvice() {
  if (advice_request_ && now_ - advice_requested_at_ >= kAdviceDelay) {
    AdviceResponse answer;
    answer.valid_for = kTicketValid;
    for (const AdvisedWorker& each : advice_request_->workers) {
      const std::string node = each.id.substr(0, each.id.find('/'));
      if (advises && !advises(advice_request_->step.job, node)) continue;
      answer.allowed.push_back(
          {each.id, advice_request_->step.job + "@" + each.id + "@" +
                        std::to_string(wall_ms() + kTicketValid.count() / 1000000)});
    }
    planner_->advice().Take(*advice_request_, answer, advice_requested_at_);
    planner_->NoteAdvice();
    advice_request_.reset();
  }
  if (advice_request_) return;
  advice_request_ = planner_->advice().Next(now_);
  advice_requested_at_ = now_;
  if (advice_request_) ++advice_requests_;
}

bool PoolSimulation::TicketIsValid(const Worker& worker, const StartCall& call) const {
  const auto spec = specs_.find(call.run.task.job);
  if (spec == specs_.end()) return true;
  const Queue* queue = operators_.config.FindQueue(spec->second.queue);
  if (queue == nullptr || !queue->terms.advised) return true;
  const std::string wanted =
      call.run.task.job + "@" + worker.spec.node + "/" + std::to_string(worker.start_time_ms) + "@";
  if (call.ticket.rfind(wanted, 0) != 0) return false;
  return wall_ms() < std::stoll(call.ticket.substr(wanted.size()));
}

void PoolSimulation::TickStore() {
  if (store_down_ || planner_paused_) return;
  planner_->ConfirmLeadership(now_);
  for (KeyedRecord& record : planner_->outbox().Take()) {
    record.offset = offset_++;
    job_table_.Apply(record);
  }
  planner_->outbox().MarkDurable();
}

bool PoolSimulation::GangComplete(const RunId& run) const {
  int present = 0;
  for (const auto& row : workers_) {
    for (const auto& live : row.second->live) {
      const RunId& other = live.first;
      present += other.number == run.number && other.task.job == run.task.job &&
                 other.task.occurrence == run.task.occurrence && other.task.step == run.task.step;
    }
  }
  return present >= StepOf(run.task)->tasks;
}

void PoolSimulation::TickWorker(Worker* worker) {
  if (wall_ms() >= worker->lease_until) ForgetUnreportedEnds(*worker);
  std::vector<std::pair<RunId, EndKind>> ended_runs;
  for (auto& [run, live] : worker->live) {
    const StepSpec& step = *StepOf(run.task);
    if (wall_ms() >= worker->lease_until) {
      ended_runs.push_back({run, EndKind::kLeaseExpired});
    } else if (live.stop_at && now_ >= *live.stop_at) {
      if (step.checkpoints) live.checkpoint = std::to_string(live.worked.count());
      ended_runs.push_back({run, EndKind::kStopped});
    } else if (step.gang && !GangComplete(run)) {
      if (now_ - live.incomplete_since > bounds_.gang_wait) {
        ended_runs.push_back({run, EndKind::kPartialGang});
      }
    } else {
      if (!worker->stuck) live.worked += kTick;
      live.incomplete_since = now_;
      if (live.worked < DurationOf(run.task)) continue;
      const bool failed = fails && fails(run, worker->spec.node);
      ended_runs.push_back({run, failed ? EndKind::kFailed : EndKind::kDone});
    }
  }
  for (const auto& [run, end_kind] : ended_runs) EndRun(worker, run, end_kind);
}

void PoolSimulation::EndRun(Worker* worker, const RunId& run, EndKind end_kind) {
  const auto live = worker->live.find(run);
  EndedTask end = {++worker->ends, run, end_kind, live->second.checkpoint};
  worker->ended[end.number] = end;
  worker->newest_over[run.task] = run.number;
  worker->live.erase(live);
  if (end_kind == EndKind::kDone) done_.insert(run.task);
  for (SimulatedRun& seen : runs_) {
    if (seen.finished || seen.run != run || seen.node != worker->spec.node) continue;
    seen.finished = true;
    seen.ended = now_;
    seen.end_kind = end_kind;
  }
}

void PoolSimulation::EndBrokenGangs() {
  for (const SimulatedRun& run : std::vector<SimulatedRun>(runs_)) {
    if (!run.finished || run.ended != now_ || !StepOf(run.run.task)->gang) continue;
    for (auto& row : workers_) {
      std::vector<RunId> others;
      for (const auto& live : row.second->live) {
        const RunId& other = live.first;
        if (other.number == run.run.number && other.task.job == run.run.task.job) {
          others.push_back(other);
        }
      }
      for (const RunId& other : others) {
        EndRun(row.second.get(), other,
               run.end_kind == EndKind::kDone ? EndKind::kDone : EndKind::kGangBroken);
      }
    }
  }
}

void PoolSimulation::StartRun(Worker* worker, const StartOrder& order, Time until) {
  std::string reason;
  worker->has_update = true;
  const std::optional<StartCall> call = worker->agent->PrepareStart(order, until, &reason, now_);
  if (!call) return worker->agent->StartNotSent(order.run, reason);
  OrderAnswer answer = OrderAnswer::kAccepted;
  Room free = worker->spec.capacity;
  for (const auto& live : worker->live) free -= StepOf(live.first.task)->need;
  const auto newest = worker->newest_over.find(order.run.task);
  if (call->fence < worker->fence) {
    answer = OrderAnswer::kFenced;
  } else if (newest != worker->newest_over.end() && order.run.number <= newest->second) {
    answer = OrderAnswer::kStaleRun;
  } else if (wall_ms() >= call->lease_until) {
    answer = OrderAnswer::kExpired;
  } else if (!TicketIsValid(*worker, *call)) {
    answer = OrderAnswer::kTicketRejected;
    ++rejected_tickets_;
  } else if (!free.Holds(StepOf(order.run.task)->need)) {
    answer = OrderAnswer::kNoRoom;
  }
  worker->agent->NoteLeaseAnswered(call->lease_until, answer, now_);
  worker->agent->HandleStartAnswer(order.run, answer);
  if (answer == OrderAnswer::kFenced) return;
  worker->lease_until = std::max(worker->lease_until, call->lease_until);
  worker->fence = std::max(worker->fence, call->fence);
  if (answer != OrderAnswer::kAccepted) return;
  const std::string name = TaskName(order.run.task);
  if (done_.count(order.run.task) > 0) violations_.push_back(name + " started after it was done");
  for (const auto& row : workers_) {
    for (const auto& live : row.second->live) {
      if (live.first.task == order.run.task) violations_.push_back(name + " runs twice");
    }
  }
  Worker::Live live;
  live.run = order.run;
  live.checkpoint = order.checkpoint;
  live.started = now_;
  live.incomplete_since = now_;
  if (!order.checkpoint.empty()) live.worked = Duration(std::stoll(order.checkpoint));
  worker->live[order.run] = live;
  runs_.push_back({order.run, worker->spec.node, now_, {}, EndKind::kDone, false});
}

void PoolSimulation::Announce(Worker* worker) {
  WorkerAnnouncement announcement;
  announcement.sequence = ++worker->sequence;
  announcement.facts.id = worker->spec.node + "/" + std::to_string(worker->start_time_ms);
  announcement.facts.start_time_ms = worker->start_time_ms;
  announcement.facts.service = "plans";
  announcement.facts.rack = worker->spec.rack;
  announcement.facts.labels = {"plain", worker->spec.rack};
  announcement.facts.capacity = worker->spec.capacity;
  announcement.facts.draining = worker->draining;
  worker->agent->HandleAnnouncement(announcement);
}

void PoolSimulation::HandleOrders(Worker* worker, const AgentOrders& orders, Time sent) {
  AgentState& agent = *worker->agent;
  const AgentOrders todo = agent.HandleOrders(orders, sent, now_);
  for (const RunId& stop : todo.stops) {
    const auto live = worker->live.find(stop);
    if (live != worker->live.end()) live->second.stop_at = now_ + bounds_.stop / kStopTimeDivisor;
    int64_t& newest = worker->newest_over[stop.task];
    newest = std::max(newest, stop.number);
    agent.HandleStopAnswer(stop, OrderAnswer::kAccepted, now_);
  }
  for (const StartOrder& start : todo.starts) {
    StartRun(worker, start, sent + orders.start_window);
  }
}

void PoolSimulation::SendReport(Worker* worker) {
  if (worker->has_update) {
    worker->has_update = false;
    unread_reports_.push_back(
        {worker->spec.node, worker->agent->Report(Duration::zero(), now_), now_});
  }
  const Duration timeout = kPollTimeout + std::min(2 * worker->planner_lag, kMaxLagAllowance);
  if (worker->poll_sent && now_ - *worker->poll_sent < timeout) return;
  worker->poll_sent = now_;
  unread_reports_.push_back({worker->spec.node, worker->agent->Report(kPollWait, now_), now_});
}

void PoolSimulation::ReadReports() {
  for (int left = reports_per_tick_.value_or(0); left > 0 && !unread_reports_.empty(); --left) {
    SentReport sent = std::move(unread_reports_.front());
    unread_reports_.pop_front();
    planner_->ApplyReport(sent.report, wall_ms(), now_);
    if (sent.report.wait == Duration::zero()) {
      Answer(sent);
    } else {
      const std::string node = sent.node;
      waiting_polls_[node] = {std::move(sent), now_ + kPollWait};
    }
  }
  for (auto waiting = waiting_polls_.begin(); waiting != waiting_polls_.end();) {
    const auto& [poll, until] = waiting->second;
    if (now_ < until && !planner_->HasPendingOrders(poll.node)) {
      ++waiting;
      continue;
    }
    planner_->NotePollAnswered(poll.node, now_);
    Answer(poll);
    waiting = waiting_polls_.erase(waiting);
  }
}

void PoolSimulation::Answer(const SentReport& sent) {
  const AgentOrders orders = planner_->Orders(sent.node, now_);
  Worker& to = worker(sent.node);
  if (sent.report.wait > Duration::zero()) {
    // The agent has abandoned this poll, so its answer is discarded.
    if (to.poll_sent != sent.sent) return;
    to.poll_sent.reset();
  }
  to.planner_lag = orders.lag;
  to.agent->ReportDelivered(sent.report);
  HandleOrders(&to, orders, sent.sent);
}

void PoolSimulation::TickAgent(Worker* worker) {
  AgentState& agent = *worker->agent;
  Announce(worker);
  if (reports_per_tick_) {
    SendReport(worker);
  } else if (isolated_.count(worker->spec.node) == 0) {
    const AgentReport report = agent.Report(Duration::zero(), now_);
    planner_->ApplyReport(report, wall_ms(), now_);
    agent.ReportDelivered(report);
    const AgentOrders orders = planner_->Orders(worker->spec.node, now_);
    HandleOrders(worker, orders, now_);
  }
  TickHold(worker);
}

void PoolSimulation::TickHold(Worker* worker) {
  AgentState& agent = *worker->agent;
  if (ticks_ % kTicksBetweenHoldCalls != 0 || agent.epoch() == 0) return;
  const HoldCall hold = agent.NextHold(Duration::zero(), now_);
  if (hold.fence < worker->fence) return;
  worker->fence = hold.fence;
  if (hold.lease_until) {
    worker->lease_until = std::max(worker->lease_until, *hold.lease_until);
    agent.NoteLeaseAnswered(hold.lease_until, OrderAnswer::kAccepted, now_);
  }
  worker->ended.erase(worker->ended.begin(), worker->ended.upper_bound(hold.acked_ends));
  WorkerLists lists;
  lists.start_time_ms = worker->start_time_ms;
  lists.clock = wall_ms();
  for (const auto& [run, live] : worker->live) {
    const int percent = static_cast<int>(100 * live.worked / DurationOf(run.task));
    lists.running.push_back({run, live.checkpoint, percent});
  }
  for (const auto& [number, end] : worker->ended) lists.ended.push_back(end);
  worker->has_update = agent.HandleLists(lists, hold.fence, now_, now_) || worker->has_update;
}

StepSpec SampleStep(int tasks, int accelerators, Duration estimate) {
  StepSpec step;
  step.tasks = tasks;
  step.need = {7000 * accelerators, 8000, accelerators};
  step.estimate = estimate;
  return step;
}

JobSpec SampleJob(const std::string& id, const std::string& queue, const std::string& workspace,
                  const StepSpec& step) {
  JobSpec spec;
  spec.id = id;
  spec.queue = queue;
  spec.workspace = workspace;
  spec.steps.push_back(step);
  return spec;
}

OperatorState SampleOperatorState(int64_t guaranteed) {
  OperatorState state;
  state.config.version = 1;
  int priority = 0;
  for (const char* name : {"urgent", "batch", "bulk"}) {
    Queue queue;
    queue.name = name;
    queue.host = "plans.example";
    queue.path_prefix = std::string("/") + name + "/";
    queue.terms = {"plans", priority++, 3, 3.0, std::chrono::seconds(1)};
    state.config.queues.push_back(queue);
  }
  state.config.workspaces = {{"one", {"key-one"}, guaranteed}, {"two", {"key-two"}, 0}};
  return state;
}

std::vector<SimulatedWorker> SampleRacks(int racks) {
  std::vector<SimulatedWorker> workers;
  for (int rack = 0; rack < racks; ++rack) {
    for (int number = 0; number < 3; ++number) {
      SimulatedWorker worker;
      worker.node = "w" + std::to_string(rack) + "-" + std::to_string(number);
      worker.rack = "r" + std::to_string(rack);
      worker.zone = std::string(1, static_cast<char>('a' + rack % 3));
      workers.push_back(worker);
    }
  }
  return workers;
}

}  // namespace turmericshift::pool
