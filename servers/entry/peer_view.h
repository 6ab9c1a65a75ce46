// What agents say about the other entries. Entries keep no sessions with each other: most agents
// hear two or three of them every second, so word of an entry reaches all others that way, also
// while the log is down.
#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "servers/ports/messages.h"

namespace turmericshift {

struct PeerState {
  EntryMember entry;
  // The highest that any agent has heard from it.
  int64_t config_version = 0;
  Time last_seen{};
};

class PeerView {
 public:
  // Part of an agent's heartbeat that arrived at `now`.
  void RecordHeartbeat(const AgentBeat& beat, Time now);

  // Entries heard within `limit`, by process name.
  std::vector<PeerState> RecentlySeen(Time now, Duration max_age) const;
  // The highest version that any agent had in force.
  int64_t highest_version() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, PeerState> peers_;
  int64_t highest_version_ = 0;
};

}  // namespace turmericshift
