#include "servers/agent/start_guard.h"

#include <algorithm>
#include <set>

#include "core/digest.h"
#include "core/error.h"
#include "core/logging.h"

namespace turmericshift {
namespace {

// The status of a silent entry is dropped after this time, if the entry reported that it can't read
// the log or if others have read the log since. Otherwise the loss of one VM would block all
// starts for as long as the log is down.
constexpr Duration kSilentEntryTimeout = std::chrono::seconds(60);
// Number of zones whose entries must report that the log is down, as the entries of one zone may
// share a broken path to the log.
constexpr size_t kZonesThatAgree = 2;

// The newest version of the document that the entry holds, as far as the reply tells; `known`: the
// newest one that it was known to hold. An entry that lags behind states the newest version that it
// has heard of, without a digest.
int64_t HeldVersion(const HeartbeatReply& reply, int64_t known) {
  return reply.config_digest.empty() ? known : reply.config_version;
}

}  // namespace

StartGuard::StartGuard(const std::string& zone, const std::string& agent)
    : zone_(zone), agent_(agent) {}

void StartGuard::HandleHeartbeatReply(const HeartbeatReply& reply, Time sent) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!IsConsistent(reply)) {
    LogEvent(LogLevel::kError, "config_foreign",
             {{"entry", reply.self.process},
              {"environment", reply.environment},
              {"version", reply.config_version}});
    return;
  }
  newest_reply_sent_at_ = std::max(newest_reply_sent_at_, sent);
  if (environment_name_.empty()) environment_name_ = reply.environment;
  if (reply.config_version > version_ && !reply.config_text.empty()) ApplyDocument(reply);
  // The agent must not count as being as current as the entry while it lacks the entry's version of
  // the document.
  if (version_ < reply.config_version) return;
  // An entry that has read nothing since its start may have accepted a document before its start,
  // so the entry's earlier status stays in force and this reply adds nothing.
  if (reply.freshness.age < Duration::zero()) {
    // Unless the entry reports that reads fail, it is about to read the log, and may then accept a
    // document that this agent does not receive.
    if (!reply.freshness.failing) {
      statements_.try_emplace(reply.self.process,
                              EntryStatement{reply.self, HeldVersion(reply, 0), sent, false});
    }
    return;
  }
  EntryStatement& statement = statements_[reply.self.process];
  if (sent < statement.sent) return;
  statement = {reply.self, HeldVersion(reply, statement.version), sent, reply.freshness.failing};
  // The age was measured after this heartbeat was sent, so the computed time is never too recent,
  // even if a process was paused in between.
  AdvanceFreshness(sent - reply.freshness.age);
}

bool StartGuard::IsConsistent(const HeartbeatReply& reply) const {
  if (!environment_name_.empty() && !reply.environment.empty() &&
      reply.environment != environment_name_) {
    return false;
  }
  return reply.config_version != version_ || reply.config_digest.empty() ||
         reply.config_digest == digest_ || version_ == 0;
}

void StartGuard::ApplyDocument(const HeartbeatReply& reply) {
  const std::string digest = Digest(reply.config_text);
  try {
    if (!reply.config_digest.empty() && reply.config_digest != digest) {
      throw Error(ErrorKind::kInvalidInput, "the document does not match its digest");
    }
    environment_ = std::make_shared<const Environment>(
        ParseEnvironment("version " + std::to_string(reply.config_version), reply.config_text));
    version_ = reply.config_version;
    digest_ = digest;
    LogEvent(LogLevel::kInfo, "config_in_force",
             {{"version", version_},
              {"digest", digest_},
              {"agent", agent_},
              {"zones_out", environment_->ZonesOut()}});
  } catch (const Error& error) {
    LogEvent(LogLevel::kError, "config_unreadable", {{"error", error.what()}});
  }
}

void StartGuard::AdvanceFreshness(Time time) {
  if (ever_fresh_ && time <= fresh_at_) return;
  fresh_at_ = time;
  ever_fresh_ = true;
  // An entry that became silent recently may only be unreachable from this agent and still read the
  // log, so a read by another entry does not clear its status. An entry that has been silent for
  // kSilentEntryTimeout while others read the log is presumed to have ended.
  std::erase_if(statements_,
                [&](const auto& each) { return each.second.sent < time - kSilentEntryTimeout; });
}

bool StartGuard::LogIsDown(Time now) const {
  std::set<std::string> zones;
  for (const auto& [process, statement] : statements_) {
    const Duration silence = now - statement.sent;
    if (statement.log_failing && silence > kSilentEntryTimeout) continue;
    // The entry may read the log and accept a document that this agent does not receive.
    const bool may_read = !statement.log_failing || silence > environment_->bounds.zone_out;
    if (may_read) return false;
    zones.insert(statement.entry.zone);
  }
  const size_t needed = std::min(kZonesThatAgree, environment_->zones.size());
  return zones.size() >= needed;
}

void StartGuard::RequireStartAllowed(Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!environment_ || !ever_fresh_) {
    throw Error(ErrorKind::kStale, "no configuration document was received yet");
  }
  const bool fresh = now - fresh_at_ <= environment_->bounds.zone_out;
  if (!fresh && !LogIsDown(now)) {
    throw Error(ErrorKind::kStale, "the newest configuration document may not have been received");
  }
  const AvailabilityZoneSpec* zone = environment_->FindZone(zone_);
  if (zone == nullptr || !zone->in) {
    throw Error(ErrorKind::kLeaving, "availability zone " + zone_ + " is out");
  }
}

int64_t StartGuard::config_version() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return version_;
}

std::shared_ptr<const Environment> StartGuard::environment() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return environment_;
}

bool StartGuard::received_reply_within(Duration limit, Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return now - newest_reply_sent_at_ <= limit;
}

std::vector<ObservedEntry> StartGuard::entry_statements(Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<ObservedEntry> result;
  for (const auto& [process, statement] : statements_) {
    result.push_back({statement.entry, statement.version, now - statement.sent});
  }
  return result;
}

}  // namespace turmericshift
