#include "servers/agent/start_guard.h"

#include <algorithm>

#include "core/digest.h"
#include "core/error.h"
#include "core/logging.h"

namespace turmericshift {

StartGuard::StartGuard(const std::string& zone, const std::string& agent)
    : zone_(zone), agent_(agent) {}

void StartGuard::Hear(const EntryBeat& beat, Time sent) {
  const std::lock_guard<std::mutex> lock(mutex_);
  heard_at_ = std::max(heard_at_, sent);
  if (beat.config_version > version_ && !beat.config_text.empty()) {
    try {
      environment_ = std::make_shared<const Environment>(
          ParseEnvironment("version " + std::to_string(beat.config_version), beat.config_text));
      version_ = beat.config_version;
      LogEvent(LogLevel::kInfo, "config_in_force",
               {{"version", version_},
                {"digest", Digest(beat.config_text)},
                {"agent", agent_},
                {"zones_out", environment_->ZonesOut()}});
    } catch (const Error& error) {
      LogEvent(LogLevel::kError, "config_unreadable", {{"error", error.what()}});
    }
  }
  // A view that lacks the entry's version is not as fresh as the entry.
  if (beat.freshness.age < Duration::zero() || version_ < beat.config_version) return;
  // The age was measured after this heartbeat was sent, so this never claims too much.
  fresh_at_ = std::max(fresh_at_, sent - beat.freshness.age);
  ever_fresh_ = true;
}

void StartGuard::RequireStart(Time now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (!environment_ || !ever_fresh_) throw Error(ErrorKind::kStale, "no document is known yet");
  if (now - fresh_at_ > environment_->bounds.zone_out) {
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

}  // namespace turmericshift
