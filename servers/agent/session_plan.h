// Which entries an agent keeps sessions with: the planner of its zone, one in its own zone, the
// others each in a zone of its own, so that one zone's loss leaves the agent heard.
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
  // `configured` are addresses that stay known for ever; `seed` sets how this agent differs from
  // others in its choices and pauses.
  SessionPlan(const std::string& zone, int max_sessions, const std::vector<std::string>& configured,
              uint64_t seed);

  // The entries as one of them knows them; those not among them any more are forgotten once they
  // can't be reached either. `planner` is the address of the zone's planner, "" if unknown.
  void Learn(const std::vector<EntryMember>& members, const std::string& planner);

  // The address to connect to now, marked as in use; "" when there is none.
  std::string Choose(Time now);
  // The connection stands; the pauses of that address begin anew.
  void Opened(const std::string& address);
  // The connection failed or was lost: no new try for a random, growing pause, so that a fleet does
  // not come back to a returning entry all at once.
  void Lost(const std::string& address, Time now);
  // Whether a session is worth keeping: not if there are more than enough and this one adds least.
  bool StillWanted(const std::string& address) const;
  // Given up on purpose.
  void Released(const std::string& address);

  int64_t members_digest() const;
  // Of the members last learned; before that, the configured ones.
  std::vector<std::string> addresses() const;

 private:
  struct Entry {
    EntryMember member;
    bool configured = false;
    bool listed = false;
    bool in_use = false;
    bool open = false;
    int failures = 0;
    Time not_before{};
  };

  // How much a session with this entry adds to the sessions of `others`; higher is better.
  int Worth(const Entry& entry, const std::vector<const Entry*>& others) const;
  std::vector<const Entry*> InUseBut(const std::string& address) const;

  const std::string zone_;
  const size_t max_sessions_;
  mutable std::mutex mutex_;
  std::minstd_rand random_;
  std::string planner_;
  std::vector<EntryMember> members_;
  // By address.
  std::map<std::string, Entry> entries_;
};

}  // namespace turmericshift
