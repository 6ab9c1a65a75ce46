// What an agent has heard of its zone's planner: the highest epoch, how long the holder has been
// silent, and whether a still higher epoch could exist unheard. docs/notes/planner-duty.md argues
// the rule.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "core/clock.h"
#include "servers/ports/messages.h"

namespace turmericshift {

// Not thread-safe; GangHost guards it.
class PlannerWatch {
 public:
  // The answer of the entry at address `entry` to a beat that was sent at `sent`.
  void HandleHeartbeatReply(const std::string& entry, const EntryBeat& beat, Time sent);
  // The planner at `epoch` has called.
  void Called(Sequence epoch, Time now);
  // A task that was found here had been started under `epoch`.
  void Found(Sequence epoch);

  Sequence epoch() const { return epoch_; }
  // Negative: no planner was heard yet.
  Duration silence(Time now) const;

  // Whether the planner may be obeyed: an entry that was heard had read the jobs stream to its head
  // within `limit`, or all that were heard within `limit` say that the log is down, so that nobody
  // can have claimed meanwhile. One entry alone could be cut off together with this agent, so where
  // more are known its word is not enough.
  bool Trusts(Duration limit, Time now) const;

 private:
  struct EntryHeard {
    Time heard{};
    bool failing = false;
  };

  Sequence epoch_ = kNoSequence;
  std::optional<Time> planner_heard_;
  std::optional<Time> fresh_at_;
  size_t known_entries_ = 0;
  std::map<std::string, EntryHeard> entries_;
};

}  // namespace turmericshift
