#include "servers/planner/gang_runner.h"

#include <map>
#include <set>

#include "core/error.h"
#include "core/logging.h"

namespace turmericshift {
namespace {

constexpr Duration kStepTimeout = std::chrono::seconds(2);
constexpr Duration kHold = std::chrono::seconds(5);

std::set<std::string> WorkersOf(const std::vector<TaskOnWorker>& tasks) {
  std::set<std::string> workers;
  for (const TaskOnWorker& task : tasks) workers.insert(task.worker);
  return workers;
}

std::vector<TaskPlacement> TasksAt(const std::string& worker,
                                   const std::vector<TaskOnWorker>& tasks) {
  std::vector<TaskPlacement> here;
  for (const TaskOnWorker& task : tasks) {
    if (task.worker == worker) here.push_back({task.task, task.accelerators});
  }
  return here;
}

}  // namespace

GangRunner::GangRunner(const AgentDirectory* directory) : directory_(directory) {}

void GangRunner::Start(const StartDecision& start, const JobSpec& spec, const std::string& job,
                       const std::string& checkpoint, Sequence epoch, Duration lease) const {
  const std::set<std::string> workers = WorkersOf(start.tasks);
  bool released = false;
  const GangAction action{epoch, job, start.attempt, lease, false};
  try {
    for (const std::string& worker : workers) {
      GangReserve reserve;
      reserve.epoch = epoch;
      reserve.job = job;
      reserve.workspace = spec.workspace;
      reserve.attempt = start.attempt;
      reserve.shape = spec.shape;
      reserve.tasks = TasksAt(worker, start.tasks);
      reserve.hold = kHold;
      reserve.checkpoints = spec.checkpoints;
      reserve.guaranteed = !start.borrowed;
      RequirePort(worker)->Reserve(reserve, kStepTimeout);
    }
    for (const std::string& worker : workers) {
      RequirePort(worker)->Start({epoch, job, start.attempt, spec.payload, checkpoint},
                                 kStepTimeout);
    }
    for (const std::string& worker : workers) {
      released = true;
      RequirePort(worker)->Release(action, kStepTimeout);
    }
  } catch (const Error& error) {
    RunningJob undo;
    undo.id = job;
    undo.attempt = start.attempt;
    undo.tasks = start.tasks;
    Stop(undo, epoch, false);
    throw Error(error.kind(), released ? Outcome::kUnknown : Outcome::kNotRun, error.what());
  }
}

bool GangRunner::Renew(const RunningJob& job, Sequence epoch, Duration lease) const {
  for (const std::string& worker : WorkersOf(job.tasks)) {
    try {
      RequirePort(worker)->Renew({epoch, job.id, job.attempt, lease, false}, kStepTimeout);
    } catch (const Error& error) {
      LogEvent(LogLevel::kWarning, "gang_not_renewed",
               {{"job", job.id}, {"worker", worker}, {"error", error.what()}});
      return false;
    }
  }
  return true;
}

void GangRunner::Stop(const RunningJob& job, Sequence epoch, bool checkpoint) const {
  for (const std::string& worker : WorkersOf(job.tasks)) {
    try {
      RequirePort(worker)->Stop({epoch, job.id, job.attempt, Duration::zero(), checkpoint},
                                kStepTimeout);
    } catch (const Error& error) {
      LogEvent(LogLevel::kWarning, "gang_stop_unheard",
               {{"job", job.id}, {"worker", worker}, {"error", error.what()}});
    }
  }
}

void GangRunner::Forget(const RunningJob& job, Sequence epoch) const {
  for (const std::string& worker : WorkersOf(job.tasks)) {
    try {
      RequirePort(worker)->Forget({epoch, job.id, job.attempt, Duration::zero(), false},
                                  kStepTimeout);
    } catch (const Error& error) {
      LogEvent(LogLevel::kWarning, "gang_forget_unheard",
               {{"job", job.id}, {"worker", worker}, {"error", error.what()}});
    }
  }
}

std::shared_ptr<AgentPort> GangRunner::RequirePort(const std::string& worker) const {
  std::shared_ptr<AgentPort> port = directory_->Find(worker).port;
  if (!port) throw Error(ErrorKind::kConnectionLost, Outcome::kNotRun, "no session with " + worker);
  return port;
}

}  // namespace turmericshift
