// Tracks the other entries through agents' heartbeats. Entries keep no sessions with each other.
// Most agents receive answers from two or three entries every second and report them to each entry,
// so updates about an entry reach all others this way, even while the log is down.
#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "servers/ports/messages.h"

namespace turmericshift {

struct PeerState {
  EntryMember entry;
  // The highest version that any agent has received from the entry.
  int64_t config_version = 0;
  // When an agent last received an answer from the entry.
  Time last_seen{};
};

class PeerView {
 public:
  // Stores the reports about entries in an agent's heartbeat that arrived at `now`.
  void RecordHeartbeat(const AgentHeartbeat& beat, Time now);

  // Entries from which some agent received an answer within the last `max_age`, sorted by process
  // name.
  std::vector<PeerState> RecentlySeen(Time now, Duration max_age) const;
  // The highest version that any agent had in force.
  int64_t highest_version() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, PeerState> peers_;
  int64_t highest_version_ = 0;
};

}  // namespace turmericshift
