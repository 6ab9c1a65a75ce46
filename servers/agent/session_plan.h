// Selects the entries that an agent keeps sessions with: the planner of its zone, one entry in its
// own zone, and others each in a different zone, so that the loss of one zone does not cut the
// agent off.
#pragma once

#include <map>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "core/clock.h"
#include "servers/ports/messages.h"

namespace turmericshift {

class SessionPlan {
 public:
  // `configured` are addresses that are never forgotten. `seed` makes the agents differ in their
  // choices and back-off times.
  SessionPlan(const std::string& zone, int max_sessions, const std::vector<std::string>& configured,
              uint64_t seed);

  // Updates the known entries from an entry's member list. Entries that are no longer listed are
  // forgotten once they are unreachable as well. `planner` is the address of the zone's planner, ""
  // if unknown.
  void UpdateEntries(const std::vector<EntryMember>& members, const std::string& planner);

  // Returns the address to connect to now and marks it as in use. Returns "" if there is none.
  std::string Choose(Time now);
  // The entry has answered a heartbeat on a new session. Resets the back-off of the address.
  void MarkOpened(const std::string& address);
  // The connection failed or was lost. The address is not tried again for a random time that grows
  // with each failure, so that the agents do not all reconnect to a restarted entry at the same
  // time.
  void MarkLost(const std::string& address, Time now);
  // Whether the session is worth keeping. False for the session with the lowest score if there are
  // more than enough sessions.
  bool ShouldKeep(const std::string& address) const;
  // The session was closed on purpose.
  void MarkReleased(const std::string& address);

  // Digest of the last received member list.
  int64_t members_digest() const;
  std::vector<std::string> addresses() const;

 private:
  struct Entry {
    EntryMember member;
    bool configured = false;
    bool listed = false;
    bool in_use = false;
    bool open = false;
    int failures = 0;
    Time retry_at{};
  };

  // Score of a session with this entry beside sessions with `others`. Higher is better.
  int Score(const Entry& entry, const std::vector<const Entry*>& others) const;
  std::vector<const Entry*> InUseExcept(const std::string& address) const;

  const std::string zone_;
  const size_t max_sessions_;
  mutable std::mutex mutex_;
  std::minstd_rand random_;
  std::string planner_;
  std::vector<EntryMember> members_;
  // Known entries, by address.
  std::map<std::string, Entry> entries_;
};

}  // namespace turmericshift
