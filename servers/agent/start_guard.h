// Whether this agent may start work now: only when it is sure that its zone has not been taken out
// longer ago than the bound. docs/notes/zone-out.md argues the rule.
#pragma once

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
  // newer. A document that can't be read is refused and logged.
  void Hear(const EntryBeat& beat, Time sent);

  // Throws Error(kStale) or Error(kLeaving), outcome not_run, when nothing may start at `now`.
  void RequireStart(Time now) const;

  const std::string& zone() const { return zone_; }
  int64_t config_version() const;
  // Null before the first document.
  std::shared_ptr<const Environment> environment() const;
  // The agent has heard any entry within the lease.
  bool heard_within(Duration limit, Time now) const;

 private:
  const std::string zone_;
  const std::string agent_;
  mutable std::mutex mutex_;
  int64_t version_ = 0;
  std::shared_ptr<const Environment> environment_;
  // Everything accepted before this time is known here.
  Time fresh_at_{};
  bool ever_fresh_ = false;
  Time heard_at_{};
};

}  // namespace turmericshift
