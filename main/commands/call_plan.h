// Decides which entries a call is sent to, and when: hedged requests with failover. Has no clock
// and no connections of its own; see ApiClient.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/error.h"

namespace turmericshift {

enum class CallKind {
  // Has no side effect.
  kRead,
  // A change that takes effect once, however many entries receive the call.
  kIdempotent,
  // May be sent to another entry only if all entries before are known not to have run it.
  kAtMostOnce,
};

struct CallLimits {
  // Time without an answer after which the call is sent to further entries as well.
  Duration hedge_delay = std::chrono::seconds(1);
  // Time without an answer after which the user is told which entries have not answered.
  Duration notice_delay = std::chrono::seconds(2);
  // Time after which the call fails.
  Duration timeout = std::chrono::seconds(30);
};

class CallPlan {
 public:
  // `entries` is the number of entries; `first` is the index of the entry to start with.
  CallPlan(size_t entries, size_t first, CallKind kind, const CallLimits& limits, Time start);

  // Returns the entries to send the call to now; each entry is returned once. While no entry
  // answers, each further wave doubles in size (1, 2, 4, …), so that even many silent entries delay
  // the call by only a few seconds.
  std::vector<size_t> TakeDueEntries(Time now);
  // Records that an entry failed or refused the call.
  void HandleFailure(size_t entry, const Error& error);
  // Returns true once, when no entry has answered for CallLimits::notice_delay.
  bool TakeSilenceNotice(Time now);
  // Whether the call has failed for good; failure() returns why.
  bool finished(Time now) const;
  // Returns why the call failed. The outcome takes all entries into account that received the call.
  Error failure(Time now) const;
  // Entries that received the call and have not answered.
  std::vector<size_t> unanswered() const;
  // Time of the next action (wave, notice or timeout) if no answer arrives before.
  Time next_wakeup() const;

 private:
  enum class State { kNotSent, kInFlight, kNotRun, kMaybeRun };

  // Whether the error ends the call: another entry would answer the same, or the call may not be
  // sent again.
  bool IsFinalError(const Error& error) const;
  bool maybe_run() const;
  size_t CountOf(State state) const;

  const CallKind kind_;
  const CallLimits limits_;
  const Time start_;
  // Entries in the order in which the call is sent to them; the first `sent_` have received it.
  std::vector<size_t> order_;
  std::vector<State> states_;
  size_t sent_ = 0;
  size_t wave_ = 1;
  Time next_wave_;
  bool notice_given_ = false;
  std::optional<Error> final_error_;
  std::optional<Error> last_error_;
};

}  // namespace turmericshift
