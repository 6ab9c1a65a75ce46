// Callers of a soak: they submit jobs, retry when an answer is missing (some while the first
// attempt is still pending), poll the states of jobs and cancel some of them.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "core/thread.h"
#include "platform/soak/caller.h"
#include "tests/soak/soak_history.h"
#include "tests/soak/soak_system.h"

namespace turmericshift::soak {

// Performs a call at the entry. A call interrupted by a graceful stop of the entry is recorded as a
// violation, and its outcome is unknown.
platform::CallOutcome CallEntry(
    SoakEntry* entry, const std::function<platform::CallOutcome(const platform::Caller&)>& call,
    SoakHistory* history);

class SoakCallers {
 public:
  // Starts the callers immediately; `system` and `history` must outlive them. `long_tasks`: one in
  // five jobs has tasks that run for 15 s or more.
  SoakCallers(uint64_t seed, int callers, bool long_tasks, SoakSystem* system,
              SoakHistory* history);
  ~SoakCallers();
  SoakCallers(const SoakCallers&) = delete;
  SoakCallers& operator=(const SoakCallers&) = delete;

  // Stops submitting new jobs; the states of accepted jobs are still polled.
  void StopSubmitting() { submitting_.store(false); }
  // Cancels all accepted jobs that have not ended.
  void CancelPending(uint64_t seed);

 private:
  // The loop of one caller, which submits and cancels jobs.
  void Submit(uint64_t seed, int caller);
  void PollStates(uint64_t seed);
  void SubmitOne(const SoakJob& job, std::mt19937_64* random);
  // Calls a random entry; see CallEntry.
  platform::CallOutcome Call(
      const std::function<platform::CallOutcome(const platform::Caller&)>& call,
      std::mt19937_64* random);
  // Submits the job once to a random entry; returns whether it was accepted.
  bool SubmitOnce(const SoakJob& job, std::mt19937_64* random);
  void CancelOne(const SoakJob& job, std::mt19937_64* random);

  const bool long_tasks_;
  SoakSystem* const system_;
  SoakHistory* const history_;
  std::atomic<bool> submitting_{true};
  std::atomic<bool> stopping_{false};
  std::vector<Thread> threads_;
};

// Draws a job like those of users, with one or two steps; some jobs are gangs, and some fail.
SoakJob DrawJob(const std::string& id, std::mt19937_64* random);

}  // namespace turmericshift::soak
