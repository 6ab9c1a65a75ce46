#include "servers/planner/gang_runner.h"

#include <condition_variable>
#include <mutex>
#include <optional>

#include "core/logging.h"

namespace turmericshift {
namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(2);

std::vector<TaskPlacement> TasksAt(const std::string& worker,
                                   const std::vector<TaskOnWorker>& tasks) {
  std::vector<TaskPlacement> here;
  for (const TaskOnWorker& task : tasks) {
    if (task.worker == worker) here.push_back({task.task, task.accelerators});
  }
  return here;
}

GangReserve ReserveAt(const std::string& worker, const GangAttempt& gang) {
  GangReserve reserve;
  reserve.epoch = gang.epoch;
  reserve.job = gang.job;
  reserve.workspace = gang.spec.workspace;
  reserve.attempt = gang.attempt;
  reserve.shape = gang.spec.shape;
  reserve.tasks = TasksAt(worker, gang.tasks);
  reserve.hold_timeout = kGangHoldTimeout;
  reserve.checkpoints = gang.spec.checkpoints;
  reserve.guaranteed = !gang.borrowed;
  return reserve;
}

GangAction ActionOf(const GangAttempt& gang, Duration lease, int64_t heartbeat_sent_at = -1) {
  return {gang.epoch, gang.job, gang.attempt, lease, false, heartbeat_sent_at};
}

// Calls that run in parallel and are awaited together.
struct CallBatch {
  std::mutex mutex;
  std::condition_variable changed;
  size_t pending = 0;
  std::vector<MemberFailure> failures;
};

}  // namespace

std::set<std::string> GangAttempt::workers() const {
  std::set<std::string> names;
  for (const TaskOnWorker& task : tasks) names.insert(task.worker);
  return names;
}

GangRunner::GangRunner(const AgentDirectory* directory, int max_calls)
    : directory_(directory), max_calls_(max_calls), calls_("gang-call", max_calls) {}

GangStartResult GangRunner::Start(const GangAttempt& gang,
                                  const std::function<void()>& before_release) {
  const std::set<std::string> workers = gang.workers();
  GangStartResult result;
  // Reservations never wait for room: a member whose room is taken refuses immediately and all
  // reservations are cancelled, so two overlapping gangs can't deadlock.
  result.failures = CallAll(workers, [&](const AgentState& agent) {
    agent.port->Reserve(ReserveAt(agent.hello.process, gang), kCallTimeout);
  });
  if (result.ok()) {
    result.failures = CallAll(workers, [&](const AgentState& agent) {
      agent.port->Start({gang.epoch, gang.job, gang.attempt, gang.spec.payload, gang.checkpoint},
                        kCallTimeout);
    });
  }
  if (result.ok()) {
    try {
      before_release();
    } catch (const Error& error) {
      result.failures.push_back({"", error});
    }
  }
  if (result.ok()) {
    result.may_have_run = true;
    result.failures = Release(gang);
  }
  if (!result.ok()) StopAfterFailure(gang, result.failures);
  return result;
}

std::vector<MemberFailure> GangRunner::Release(const GangAttempt& gang) {
  std::vector<MemberFailure> failures = CallAll(gang.workers(), [&](const AgentState& agent) {
    agent.port->Release(ActionOf(gang, kInitialLease), kCallTimeout);
  });
  if (!failures.empty()) return failures;
  return CallAll(gang.workers(), [&](const AgentState& agent) {
    agent.port->Renew(ActionOf(gang, gang.lease), kCallTimeout);
  });
}

std::vector<MemberFailure> GangRunner::Renew(const GangAttempt& gang,
                                             const HeartbeatTimes& heartbeat_times) {
  return CallAll(gang.workers(), [&](const AgentState& agent) {
    agent.port->Renew(ActionOf(gang, gang.lease, heartbeat_times.at(agent.hello.process)),
                      kCallTimeout);
  });
}

GangStopResult GangRunner::Stop(const GangAttempt& gang, bool checkpoint) {
  GangAction action = ActionOf(gang, Duration::zero());
  action.checkpoint = checkpoint;
  GangStopResult result;
  result.ended_members = gang.workers();
  const std::vector<MemberFailure> failures = CallAll(
      gang.workers(), [&](const AgentState& agent) { agent.port->Stop(action, kCallTimeout); });
  for (const MemberFailure& failure : failures) {
    result.ended_members.erase(failure.worker);
    if (failure.error.kind() == ErrorKind::kConflict) result.active_members.insert(failure.worker);
  }
  return result;
}

void GangRunner::Forget(const GangAttempt& gang) {
  const std::vector<MemberFailure> failures = CallAll(gang.workers(), [&](const AgentState& agent) {
    agent.port->Forget(ActionOf(gang, Duration::zero()), kCallTimeout);
  });
  for (const MemberFailure& failure : failures) {
    LogEvent(LogLevel::kInfo, "gang_forget_unheard",
             {{"job", gang.job}, {"worker", failure.worker}, {"error", failure.error.what()}});
  }
}

void GangRunner::StopAfterFailure(const GangAttempt& gang,
                                  const std::vector<MemberFailure>& failures) {
  for (const MemberFailure& failure : failures) {
    LogEvent(LogLevel::kWarning, "gang_start_failed",
             {{"job", gang.job},
              {"attempt", gang.attempt},
              {"worker", failure.worker},
              {"error", failure.error.what()}});
  }
  Stop(gang, false);
}

std::vector<MemberFailure> GangRunner::CallAll(const std::set<std::string>& workers,
                                               const Step& step) {
  CallBatch batch;
  batch.pending = workers.size();
  const auto call = [&batch, &step, this](const std::string& worker) {
    std::optional<Error> failure;
    try {
      const AgentState agent = directory_->Find(worker);
      if (!agent.port) {
        throw Error(ErrorKind::kConnectionLost, Outcome::kNotRun,
                    "no open session with agent " + worker);
      }
      step(agent);
    } catch (const Error& error) {
      failure = error;
    } catch (const std::exception& error) {
      failure = Error(ErrorKind::kInternal, error.what());
    }
    const std::lock_guard<std::mutex> lock(batch.mutex);
    if (failure) batch.failures.push_back({worker, *failure});
    --batch.pending;
    batch.changed.notify_all();
  };
  if (workers.size() == 1 || max_calls_ == 0) {
    for (const std::string& worker : workers) call(worker);
    return batch.failures;
  }
  for (const std::string& worker : workers) {
    try {
      calls_.Submit([&call, worker] { call(worker); });
    } catch (const std::exception&) {
      // The pool has no thread. Calls that it has already taken use this frame, so it must not be
      // left; the pool has logged the reason.
      call(worker);
    }
  }
  std::unique_lock<std::mutex> lock(batch.mutex);
  batch.changed.wait(lock, [&batch] { return batch.pending == 0; });
  return batch.failures;
}

}  // namespace turmericshift
