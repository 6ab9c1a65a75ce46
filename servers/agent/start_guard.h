// Whether this agent may start work now: only when it is sure that its zone has not been taken out
// longer ago than the bound. docs/notes/zone-out.md argues the rule.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "core/clock.h"
#include "servers/config/environment.h"
#include "servers/ports/messages.h"

namespace turmericshift {

class StartGuard {
 public:
  // `agent` names this agent in the log lines.
  explicit StartGuard(const std::string& zone, const std::string& agent = "");

  // An entry's answer to a heartbeat that was sent at `sent`. Takes the document over if it is
  // newer; versions never fall. A document that can't be read, is damaged or belongs to another
  // environment is refused and logged.
  void HandleHeartbeatReply(const EntryBeat& beat, Time sent);

  // Throws Error(kStale) or Error(kLeaving), outcome not_run, when nothing may start at `now`.
  void RequireStartAllowed(Time now) const;

  const std::string& zone() const { return zone_; }
  int64_t config_version() const;
  // Null before the first document.
  std::shared_ptr<const Environment> environment() const;
  // The agent has heard any entry within the lease.
  bool heard_within(Duration limit, Time now) const;
  // What each entry last said, for other entries.
  std::vector<HeardEntry> entry_statements(Time now) const;

 private:
  // What an entry last said about itself.
  struct Statement {
    EntryMember entry;
    int64_t version = 0;
    Time sent{};
    bool log_failing = false;
  };

  // False for a beat of another environment, or of another document under the same version.
  bool Belongs(const EntryBeat& beat) const;
  void Take(const EntryBeat& beat);
  // All accepted before `time` is known here, so what entries said earlier does not matter.
  void KnowAllBefore(Time time);
  // All entries say that they can't read the log, so none can have accepted a document.
  bool LogIsDown(Time now) const;

  const std::string zone_;
  const std::string agent_;
  mutable std::mutex mutex_;
  std::string environment_name_;
  int64_t version_ = 0;
  std::string digest_;
  std::shared_ptr<const Environment> environment_;
  Time fresh_at_{};
  bool ever_fresh_ = false;
  Time heard_at_{};
  // By process name.
  std::map<std::string, Statement> statements_;
};

}  // namespace turmericshift
