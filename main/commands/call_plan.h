// Decides which entries one call of a command is sent to, and when. Keeps no clock and no
// connection; see ApiClient.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/error.h"

namespace turmericshift {

enum class CallKind {
  // Changes nothing.
  kRead,
  // A change that takes effect once, however many entries are asked for it.
  kRepeatable,
  // Goes to another entry only if the one before has surely not done it.
  kOnce,
};

struct CallLimits {
  // After this much silence more entries are asked as well.
  Duration patience = std::chrono::seconds(1);
  // After this much silence the user is told who is asked.
  Duration notice = std::chrono::seconds(2);
  // After this the call ends.
  Duration total = std::chrono::seconds(30);
};

class CallPlan {
 public:
  // `first`: the entry to begin with, an index below `entries`.
  CallPlan(size_t entries, size_t first, CallKind kind, const CallLimits& limits, Time begun);

  // The entries to ask now, each once. Silent entries are joined by one more, then by two, by four
  // and so on, so that many of them cost seconds.
  std::vector<size_t> TakeDue(Time now);
  // An entry that was asked has failed or refused.
  void Failed(size_t entry, const Error& error);
  // True once, when the silence has lasted for the notice.
  bool TakeNotice(Time now);
  // Nothing more can come of it; see failure().
  bool over(Time now) const;
  // Why the call failed. Its outcome speaks for all entries that were asked.
  Error failure(Time now) const;
  // The entries that were asked and have not answered.
  std::vector<size_t> silent() const;
  // When the next thing is due unless an answer comes before.
  Time next_look() const;

 private:
  enum class State { kUnasked, kAsked, kNotRun, kMaybeRun };

  // No other entry would say anything else, or may be asked.
  bool IsFinal(const Error& error) const;
  bool maybe_run() const;
  size_t CountOf(State state) const;

  const CallKind kind_;
  const CallLimits limits_;
  const Time begun_;
  // In the order in which they are asked.
  std::vector<size_t> order_;
  std::vector<State> states_;
  size_t asked_ = 0;
  size_t wave_ = 1;
  Time next_wave_;
  bool noticed_ = false;
  std::optional<Error> final_;
  std::optional<Error> last_;
};

}  // namespace turmericshift
