#include "servers/agent/agent_server.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "core/digest.h"
#include "core/error.h"
#include "core/logging.h"
#include "core/result.h"

namespace turmericshift {
namespace {

constexpr Duration kExpiryInterval = std::chrono::milliseconds(200);
// Interval at which an idle session thread asks the plan for an address.
constexpr Duration kIdlePollInterval = std::chrono::milliseconds(100);
// The reports about other entries go with every second heartbeat, to save bandwidth.
constexpr int kHeartbeatsPerEntryReport = 2;
constexpr size_t kMaxCancelledRequests = 1000;

}  // namespace

AgentServer::AgentServer(const AgentOptions& options, EntryConnector* connector,
                         TargetService* target, WorkerService* worker, MetricsRegistry* metrics)
    : options_(options),
      connector_(connector),
      target_(target),
      served_(&metrics->counter("agent_requests_served")),
      refused_(&metrics->counter("agent_requests_refused")),
      limiter_(options.slots, options.connections),
      guard_(options.hello.zone, options.hello.process),
      plan_(options.hello.zone, options.max_sessions, options.entries,
            std::hash<std::string>{}(options.hello.process + options.hello.incarnation)) {
  if (worker != nullptr) {
    gangs_ =
        std::make_unique<GangHost>(options.hello.worker, worker, &guard_, options.hello.process);
  }
  try {
    StartThreads();
  } catch (...) {
    // The destructor does not run, and nothing else tells the started threads to end.
    StopThreads();
    throw;
  }
}

AgentServer::~AgentServer() { StopThreads(); }

void AgentServer::StartThreads() {
  if (gangs_) expiry_ = Thread(ThreadRole::kEssential, "agent-expiry", [this] { RunExpiry(); });
  // One thread more than sessions, so that a better session is opened before the session with the
  // lowest score is closed.
  for (int index = 0; index <= options_.max_sessions; ++index) {
    sessions_.emplace_back(ThreadRole::kEssential, "agent-beat", [this] { RunSessions(); });
  }
}

void AgentServer::StopThreads() {
  std::vector<Thread> sessions;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
    sessions.swap(sessions_);
  }
  changed_.notify_all();
  for (Thread& session : sessions) session.Join();
  expiry_.Join();
}

ServiceAnswer AgentServer::Serve(const ServiceRequest& request) {
  Result<ServiceAnswer> attempt = ResultOf<ServiceAnswer>([&] { return Admit(request); });
  (attempt.error ? refused_ : served_)->Add();
  return attempt.Take();
}

ServiceAnswer AgentServer::Admit(const ServiceRequest& request) {
  const Time now = DefaultClock().Now();
  if (!request.incarnation.empty() && request.incarnation != options_.hello.incarnation) {
    // A copy of this message may have reached the agent's previous process, which can't be asked
    // any more.
    throw Error(ErrorKind::kFenced, Outcome::kUnknown,
                "the request was sent to an earlier incarnation of this agent");
  }
  ledger_.Begin(request, now);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++serving_;
  }
  Result<ServiceAnswer> attempt =
      ResultOf<ServiceAnswer>([&] { return Run(request, now + request.time_left); });
  // Recorded before the refusal is returned, so that a delayed copy of the message can't run
  // afterwards.
  if (attempt.error && attempt.error->outcome() == Outcome::kNotRun) ledger_.MarkNotRun(request);
  if (attempt.error && attempt.error->outcome() != Outcome::kNotRun) ledger_.MarkUnknown(request);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    --serving_;
  }
  changed_.notify_all();
  return attempt.Take();
}

ServiceAnswer AgentServer::Run(const ServiceRequest& request, Time deadline) {
  if (leaving_.load()) throw Error(ErrorKind::kLeaving, "the target is leaving");
  if (target_ == nullptr || request.service != options_.hello.service) {
    throw Error(ErrorKind::kNotFound, "this agent does not serve '" + request.service + "'");
  }
  if (Digest(request.body) != request.body_digest) {
    throw Error(ErrorKind::kInvalidInput, "the request body does not match its digest");
  }
  const SlotLimiter::Slot slot =
      limiter_.Acquire(request.workspace, request.request_id, DefaultClock().Now(), deadline);
  RequireNotCancelled(request);
  ServiceRequest to_target = request;
  to_target.time_left = deadline - DefaultClock().Now();
  if (to_target.time_left <= Duration::zero()) {
    throw Error(ErrorKind::kDeadlineExceeded, Outcome::kNotRun,
                "the deadline passed while the request was queued");
  }
  // History checks depend on these two log events: which request ran here, and its answer.
  nlohmann::json run = {{"request", CallerRequestId(request.request_id)},
                        {"workspace", request.workspace},
                        {"key_tag", KeyTag(request.workspace, request.idempotency_key)},
                        {"attempt", request.attempt},
                        {"agent", options_.hello.process}};
  LogEvent(LogLevel::kInfo, "request_run", run);
  ServiceAnswer answer = target_->Perform(to_target);
  answer.request_id = request.request_id;
  run["answer_digest"] = answer.body_digest;
  LogEvent(LogLevel::kInfo, "request_ran", run);
  ledger_.Finish(request, answer);
  answer.load = limiter_.load();
  return answer;
}

void AgentServer::RequireNotCancelled(const ServiceRequest& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (cancelled_.erase(request.request_id) == 0) return;
  throw Error(ErrorKind::kCancelled, "the caller has cancelled the request");
}

void AgentServer::Cancel(const std::string& request_id) {
  if (limiter_.CancelWaiting(request_id)) return;
  const std::lock_guard<std::mutex> lock(mutex_);
  // Limits the memory for ids of requests that had ended before they were cancelled, as these are
  // never looked up again.
  if (cancelled_.size() >= kMaxCancelledRequests) cancelled_.clear();
  cancelled_.insert(request_id);
}

RequestStatusReply AgentServer::Resolve(const RequestStatusQuery& question, Duration /*timeout*/) {
  if (!question.incarnation.empty() && question.incarnation != options_.hello.incarnation) {
    return {RequestRunState::kUnknown, {}};
  }
  return ledger_.Resolve(question, DefaultClock().Now());
}

void AgentServer::Reserve(const GangReserve& reserve, Duration /*timeout*/) {
  if (leaving_.load()) throw Error(ErrorKind::kLeaving, "the worker is leaving");
  RequireWorker().Reserve(reserve, DefaultClock().Now());
}

void AgentServer::Start(const GangStart& start, Duration /*timeout*/) {
  RequireWorker().Start(start, DefaultClock().Now());
}

void AgentServer::Release(const GangAction& action, Duration /*timeout*/) {
  RequireWorker().Release(action, DefaultClock().Now());
}

void AgentServer::Renew(const GangAction& action, Duration /*timeout*/) {
  RequireWorker().Renew(action, DefaultClock().Now());
}

void AgentServer::Stop(const GangAction& action, Duration /*timeout*/) {
  RequireWorker().Stop(action, DefaultClock().Now());
}

void AgentServer::Forget(const GangAction& action, Duration /*timeout*/) {
  RequireWorker().Forget(action, DefaultClock().Now());
}

bool AgentServer::Leave(Duration limit) {
  leaving_.store(true);
  // Refuses waiting requests immediately, so that their entries can send them to another target.
  limiter_.Close();
  LogEvent(LogLevel::kInfo, "agent_leaving");
  WakeHeartbeats();
  const Time give_up = DefaultClock().Now() + limit;
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_until(lock, give_up, [this] { return AllEntriesNotified(); });
  changed_.wait_until(lock, std::min(give_up, DefaultClock().Now() + options_.leave_grace_period),
                      [this] { return stopping_; });
  return changed_.wait_until(lock, give_up, [this] { return serving_ == 0; });
}

bool AgentServer::AllEntriesNotified() const {
  return std::includes(notified_of_leaving_.begin(), notified_of_leaving_.end(), connected_.begin(),
                       connected_.end());
}

GangHost& AgentServer::RequireWorker() {
  if (!gangs_) throw Error(ErrorKind::kNotFound, "this agent has no worker");
  return *gangs_;
}

void AgentServer::RunSessions() {
  do {
    const std::string address = plan_.Choose(DefaultClock().Now());
    if (!address.empty()) RunSession(address);
  } while (!Pause(kIdlePollInterval));
}

void AgentServer::RunSession(const std::string& address) {
  // A silent session may only be slow, so it is kept until a new session is connected. The entry
  // then uses the new session to resolve the calls that were in flight on the old session.
  std::shared_ptr<EntryPort> suspect;
  bool reconnect = true;
  while (reconnect) {
    std::shared_ptr<EntryPort> port;
    bool answered = false;
    try {
      port = connector_->Connect(address, options_.hello, this);
      LogEvent(LogLevel::kInfo, "entry_connected", {{"entry", address}});
      suspect.reset();
      KeepSession(address, port.get(), &answered);
      plan_.MarkReleased(address);
      reconnect = false;
    } catch (const Error& error) {
      LogEvent(LogLevel::kWarning, "entry_lost", {{"entry", address}, {"error", error.what()}});
      // An entry that answers no heartbeat on a new session either is given up for now.
      reconnect = error.kind() == ErrorKind::kDeadlineExceeded && answered;
      if (!reconnect) plan_.MarkLost(address, DefaultClock().Now());
      suspect = std::move(port);
    }
    MarkClosed(address);
  }
}

void AgentServer::KeepSession(const std::string& address, EntryPort* port, bool* answered) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    connected_.insert(address);
  }
  int heartbeats = 0;
  int64_t changes = 0;
  do {
    changes = task_changes_.load();
    const Time sent = DefaultClock().Now();
    AgentHeartbeat heartbeat = MakeHeartbeat();
    heartbeat.members_digest = plan_.members_digest();
    if (heartbeats++ % kHeartbeatsPerEntryReport == 0) {
      heartbeat.observed = guard_.entry_statements(sent);
    }
    HeartbeatReply reply = port->Heartbeat(heartbeat, options_.heartbeat_timeout);
    if (!*answered) plan_.MarkOpened(address);
    *answered = true;
    guard_.HandleHeartbeatReply(reply, sent);
    ApplyLimits();
    plan_.UpdateEntries(reply.members, reply.planner_address);
    reply.entries = plan_.addresses();
    if (gangs_) gangs_->HandleHeartbeatReply(address, reply, sent);
    if (heartbeat.leaving) MarkNotified(address);
  } while (!PauseUntilChange(options_.heartbeat, changes) && plan_.ShouldKeep(address));
}

AgentHeartbeat AgentServer::MakeHeartbeat() const {
  AgentHeartbeat heartbeat;
  heartbeat.load = limiter_.load();
  heartbeat.config_version = guard_.config_version();
  heartbeat.leaving = leaving_.load();
  if (gangs_) {
    gangs_->FillHeartbeat(&heartbeat, DefaultClock().Now());
  }
  return heartbeat;
}

void AgentServer::RunExpiry() {
  do {
    // Triggers a heartbeat immediately, so that the planner learns one heartbeat earlier that a
    // task has ended.
    if (gangs_->Expire(DefaultClock().Now())) ++task_changes_;
    changed_.notify_all();
  } while (!Pause(kExpiryInterval));
}

void AgentServer::WakeHeartbeats() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    task_changes_.fetch_add(1);
  }
  changed_.notify_all();
}

void AgentServer::MarkClosed(const std::string& address) {
  const std::lock_guard<std::mutex> lock(mutex_);
  connected_.erase(address);
  changed_.notify_all();
}

void AgentServer::MarkNotified(const std::string& address) {
  const std::lock_guard<std::mutex> lock(mutex_);
  notified_of_leaving_.insert(address);
  changed_.notify_all();
}

void AgentServer::ApplyLimits() {
  const std::shared_ptr<const Environment> environment = guard_.environment();
  if (!environment) return;
  const ServiceSpec* service = environment->FindService(options_.hello.service);
  if (service != nullptr) limiter_.SetLimits(service->slots, service->connections);
}

bool AgentServer::Pause(Duration duration) {
  std::unique_lock<std::mutex> lock(mutex_);
  return changed_.wait_for(lock, duration, [this] { return stopping_; });
}

bool AgentServer::PauseUntilChange(Duration duration, int64_t changes) {
  std::unique_lock<std::mutex> lock(mutex_);
  changed_.wait_for(lock, duration, [&] { return stopping_ || task_changes_.load() != changes; });
  return stopping_;
}

}  // namespace turmericshift
