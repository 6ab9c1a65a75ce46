// Decides whether this agent may start work: only if its zone can't have been taken out longer ago
// than the zone-out bound. docs/notes/zone-out.md explains the rule.
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
  // `agent` identifies this agent in log lines.
  explicit StartGuard(const std::string& zone, const std::string& agent = "");

  // Handles an entry's reply to a heartbeat sent at `sent`. Adopts the reply's document if its
  // version is newer; the version never decreases. A document that is unreadable, damaged or of
  // another environment is rejected and logged.
  void HandleHeartbeatReply(const HeartbeatReply& reply, Time sent);

  // Throws Error(kStale) or Error(kLeaving), with outcome not_run, if no work may start at `now`.
  void RequireStartAllowed(Time now) const;

  const std::string& zone() const { return zone_; }
  int64_t config_version() const;
  // The document in force. Null before the first one was received.
  std::shared_ptr<const Environment> environment() const;
  // Whether a reply to a heartbeat that was sent within `limit` has been received.
  bool received_reply_within(Duration limit, Time now) const;
  // The last document version that each entry is known to hold and the age of its reply, for other
  // entries.
  std::vector<ObservedEntry> entry_statements(Time now) const;

 private:
  // The last status that an entry reported about itself.
  struct EntryStatement {
    EntryMember entry;
    // The newest document version that the entry is known to hold.
    int64_t version = 0;
    Time sent{};
    bool log_failing = false;
  };

  // Returns false for a reply from another environment, or with another document under the version
  // in force.
  bool IsConsistent(const HeartbeatReply& reply) const;
  void ApplyDocument(const HeartbeatReply& reply);
  // Records that all documents accepted before `time` are known here, so that earlier statements of
  // entries no longer matter.
  void AdvanceFreshness(Time time);
  // Whether all entries report that they can't read the log, so that none can have accepted a
  // document.
  bool LogIsDown(Time now) const;

  const std::string zone_;
  const std::string agent_;
  mutable std::mutex mutex_;
  std::string environment_name_;
  int64_t version_ = 0;
  std::string digest_;
  std::shared_ptr<const Environment> environment_;
  // All documents accepted before this time are known here. Only valid if `ever_fresh_`.
  Time fresh_at_{};
  bool ever_fresh_ = false;
  Time newest_reply_sent_at_{};
  // Last status of each entry, by process name.
  std::map<std::string, EntryStatement> statements_;
};

}  // namespace turmericshift
