// Executes the steps of starting and stopping a gang at all its agents in parallel. A start has
// four steps: reserve room at all agents, start all tasks as held (set up, but making no progress),
// release the tasks once all of them are held, then replace the short initial lease by a full
// lease. docs/notes/gangs.md describes the protocol and its time bounds.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/thread_pool.h"
#include "servers/entry/agent_directory.h"
#include "servers/planner/zone_view.h"

namespace turmericshift {

// Reservations and held tasks expire after this time.
inline constexpr Duration kGangHoldTimeout = std::chrono::seconds(5);
// Lease of released members until all members are known to be released. It limits how long part of
// a gang can run if its planner dies between two releases.
inline constexpr Duration kInitialLease = std::chrono::seconds(2);

struct MemberFailure {
  std::string worker;
  Error error;
};

// One attempt to run a gang, as its agents know it.
struct GangAttempt {
  std::string job;
  int64_t attempt = 0;
  Sequence epoch = kNoSequence;
  Duration lease{};
  std::string checkpoint;
  bool borrowed = false;
  JobSpec spec;
  std::vector<TaskOnWorker> tasks;

  std::set<std::string> workers() const;
};

// AgentHeartbeat::sent_at for each worker.
using HeartbeatTimes = std::map<std::string, int64_t>;

struct GangStartResult {
  // True if a release was sent to at least one member, so that tasks may have run.
  bool may_have_run = false;
  std::vector<MemberFailure> failures;

  bool ok() const { return failures.empty(); }
};

struct GangStopResult {
  // Members at which the attempt has ended for good.
  std::set<std::string> ended_members;
  // Members that answered, but whose tasks have not stopped yet.
  std::set<std::string> active_members;
};

class GangRunner {
 public:
  // `directory` must outlive the runner. At most `max_calls` calls run in parallel; with 0, calls
  // run one after the other on the caller's thread.
  GangRunner(const AgentDirectory* directory, int max_calls);

  // `before_release` runs once all members hold their tasks; it may throw Error to abort the start.
  // If the start fails, all members have been asked to stop before the call returns.
  GangStartResult Start(const GangAttempt& gang, const std::function<void()>& before_release);
  // Renews the leases of all members. Call it only if every member's heartbeat shows that it still
  // runs; `heartbeat_times` names these heartbeats. Returns the members that failed.
  std::vector<MemberFailure> Renew(const GangAttempt& gang, const HeartbeatTimes& heartbeat_times);
  GangStopResult Stop(const GangAttempt& gang, bool checkpoint);
  void Forget(const GangAttempt& gang);

 private:
  using Step = std::function<void(const AgentState& agent)>;

  // Runs `step` for each worker and waits for all of them. Returns the members that failed.
  std::vector<MemberFailure> CallAll(const std::set<std::string>& workers, const Step& step);
  std::vector<MemberFailure> Release(const GangAttempt& gang);
  void StopAfterFailure(const GangAttempt& gang, const std::vector<MemberFailure>& failures);

  const AgentDirectory* const directory_;
  const int max_calls_;
  ThreadPool calls_;
};

}  // namespace turmericshift
