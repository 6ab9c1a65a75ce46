// Callers of a soak: they hand jobs in, again where an answer is missing, ask what became of them
// and cancel some.
#pragma once

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "core/thread.h"
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
  void Ask(uint64_t seed);
  void SubmitOne(const SoakJob& job, std::mt19937_64* random);
  void CancelOne(const SoakJob& job, std::mt19937_64* random);
  int AnyEntry(std::mt19937_64* random) const;

  SoakSystem* const system_;
  SoakHistory* const history_;
  std::atomic<bool> submitting_{true};
  std::atomic<bool> stopping_{false};
  std::vector<Thread> threads_;
};

// A job like those of the users: some of one step, some of two, some gangs, some that fail.
SoakJob DrawJob(const std::string& id, std::mt19937_64* random);

}  // namespace turmericshift::soak
