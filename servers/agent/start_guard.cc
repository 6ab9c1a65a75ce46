#include "servers/agent/start_guard.h"

#include <algorithm>
#include <set>

#include "core/digest.h"
#include "core/error.h"
#include "core/logging.h"

namespace turmericshift {
namespace {

// A silent entry counts no longer after this time, if it said that it can't read the log or if the
// log was read by others since; otherwise one lost machine would stop all starts for as long as the
// log is down.
constexpr Duration kForgetSilent = std::chrono::seconds(60);
// One zone's entries may share one broken path to the log.
constexpr size_t kZonesThatAgree = 2;

}  // namespace

StartGuard::StartGuard(const std::string& zone, const std::string& agent)
    : zone_(zone), agent_(agent) {}

void StartGuard::HandleHeartbeatReply(const EntryBeat& beat, Time sent) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!Belongs(beat)) {
    LogEvent(LogLevel::kError, "config_foreign",
             {{"entry", beat.self.process},
              {"environment", beat.environment},
              {"version", beat.config_version}});
    return;
  }
  heard_at_ = std::max(heard_at_, sent);
  if (environment_name_.empty()) environment_name_ = beat.environment;
  if (beat.config_version > version_ && !beat.config_text.empty()) Take(beat);
  // A view that lacks the entry's version is not as fresh as the entry.
  if (version_ < beat.config_version) return;
  // An entry that has read nothing since it started may have accepted a document before that, so
  // what it said earlier stays; it says nothing new.
  if (beat.freshness.age < Duration::zero()) {
    // Unless it says that it can't, it is about to read, and may accept a document unheard later.
    if (!beat.freshness.failing) {
      statements_.try_emplace(beat.self.process,
                              Statement{beat.self, beat.config_version, sent, false});
    }
    return;
  }
  Statement& statement = statements_[beat.self.process];
  if (sent < statement.sent) return;
  statement = {beat.self, beat.config_version, sent, beat.freshness.failing};
  // The age was measured after this heartbeat was sent, so this never claims too much, also when
  // either process was paused in between.
  KnowAllBefore(sent - beat.freshness.age);
}

bool StartGuard::Belongs(const EntryBeat& beat) const {
  if (!environment_name_.empty() && !beat.environment.empty() &&
      beat.environment != environment_name_) {
    return false;
  }
  return beat.config_version != version_ || beat.config_digest.empty() ||
         beat.config_digest == digest_ || version_ == 0;
}

void StartGuard::Take(const EntryBeat& beat) {
  const std::string digest = Digest(beat.config_text);
  try {
    if (!beat.config_digest.empty() && beat.config_digest != digest) {
      throw Error(ErrorKind::kInvalidInput, "the document was damaged on its way here");
    }
    environment_ = std::make_shared<const Environment>(
        ParseEnvironment("version " + std::to_string(beat.config_version), beat.config_text));
    version_ = beat.config_version;
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

void StartGuard::KnowAllBefore(Time time) {
  if (ever_fresh_ && time <= fresh_at_) return;
  fresh_at_ = time;
  ever_fresh_ = true;
  // An entry that fell silent a moment ago may only be out of this agent's reach and read on, so
  // others' reads don't end what it may accept; one silent for long while the log was read has
  // gone.
  std::erase_if(statements_,
                [&](const auto& each) { return each.second.sent < time - kForgetSilent; });
}

bool StartGuard::LogIsDown(Time now) const {
  std::set<std::string> zones;
  for (const auto& [process, statement] : statements_) {
    const Duration silence = now - statement.sent;
    if (statement.log_failing && silence > kForgetSilent) continue;
    // It may read the log, and accept a document there, unheard by this agent.
    const bool may_read = !statement.log_failing || silence > environment_->bounds.zone_out;
    if (may_read) return false;
    zones.insert(statement.entry.zone);
  }
  const size_t needed = std::min(kZonesThatAgree, environment_->zones.size());
  return zones.size() >= needed;
}

void StartGuard::RequireStartAllowed(Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!environment_ || !ever_fresh_) throw Error(ErrorKind::kStale, "no document is known yet");
  const bool fresh = now - fresh_at_ <= environment_->bounds.zone_out;
  if (!fresh && !LogIsDown(now)) {
    throw Error(ErrorKind::kStale, "the newest document may not be known here");
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

bool StartGuard::heard_within(Duration limit, Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return now - heard_at_ <= limit;
}

std::vector<HeardEntry> StartGuard::entry_statements(Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<HeardEntry> result;
  for (const auto& [process, statement] : statements_) {
    result.push_back({statement.entry, statement.version, now - statement.sent});
  }
  return result;
}

}  // namespace turmericshift
