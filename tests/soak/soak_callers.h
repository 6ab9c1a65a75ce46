// Callers of a soak: they hand jobs in, again where an answer is missing, some also while the first
// try still waits, ask what became of them and cancel some.
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

class SoakCallers {
 public:
  // Both must outlive the callers, who begin at once.
  SoakCallers(uint64_t seed, int callers, SoakSystem* system, SoakHistory* history);
  ~SoakCallers();
  SoakCallers(const SoakCallers&) = delete;
  SoakCallers& operator=(const SoakCallers&) = delete;

  // No new jobs from now on; those that were accepted are still asked for.
  void StopSubmitting() { submitting_.store(false); }

 private:
  // One caller; it keeps the connections that it has.
  void Submit(uint64_t seed, int caller);
  void PollStates(uint64_t seed);
  void SubmitOne(const SoakJob& job, std::mt19937_64* random);
  // Calls any entry. A call that an ordered stop has cut is a violation, and unclear besides.
  platform::CallOutcome Call(
      const std::function<platform::CallOutcome(const platform::Caller&)>& call,
      std::mt19937_64* random);
  // One try at any entry; whether the job was accepted.
  bool SubmitOnce(const SoakJob& job, std::mt19937_64* random);
  void CancelOne(const SoakJob& job, std::mt19937_64* random);

  SoakSystem* const system_;
  SoakHistory* const history_;
  std::atomic<bool> submitting_{true};
  std::atomic<bool> stopping_{false};
  std::vector<Thread> threads_;
};

// A job like those of the users: some of one step, some of two, some gangs, some that fail.
SoakJob DrawJob(const std::string& id, std::mt19937_64* random);

}  // namespace turmericshift::soak
