#include "servers/state/replicated_config.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "core/digest.h"
#include "core/error.h"

namespace turmericshift {
namespace {

constexpr size_t kMaxHistory = 64;

// Returns the name of a zone whose state differs between the two documents, or "".
std::string ChangedZone(const Environment& from, const Environment& to) {
  for (const auto& [name, zone] : to.zones) {
    const AvailabilityZoneSpec* before = from.FindZone(name);
    if (before != nullptr && before->in != zone.in) return name;
  }
  return "";
}

// Sets the states of the zones in `version` to those in `present`.
void KeepZones(const Environment& present, ConfigVersion* version) {
  for (const auto& [name, zone] : present.zones) {
    const AvailabilityZoneSpec* named = version->environment->FindZone(name);
    if (named != nullptr && named->in != zone.in) {
      version->text = WithZoneState(version->text, name, zone.in);
    }
  }
  version->environment = std::make_shared<const Environment>(
      ParseEnvironment("version " + std::to_string(version->version), version->text));
}

}  // namespace

RecordVerdict ReplicatedConfig::Apply(const Record& record, Sequence sequence) {
  const std::lock_guard<std::mutex> lock(mutex_);
  try {
    if (const auto* published = std::get_if<ConfigPublished>(&record)) {
      return ApplyRecord(*published, sequence);
    }
    if (const auto* event = std::get_if<ZoneChanged>(&record)) return ApplyRecord(*event, sequence);
  } catch (const Error& error) {
    return {false, error.what()};
  }
  return {false, "not a config record"};
}

RecordVerdict ReplicatedConfig::ApplyRecord(const ConfigPublished& published, Sequence sequence) {
  const std::string foreign_reason = ForeignReason(published.environment);
  if (!foreign_reason.empty()) return {false, foreign_reason};
  const ConfigVersion* before = newest();
  const int64_t newest_version = before == nullptr ? 0 : before->version;
  if (published.parent != newest_version || published.version != newest_version + 1) {
    const std::string by = before == nullptr ? "" : " by '" + before->author + "'";
    return {false, "version " + std::to_string(newest_version) + by + " came first"};
  }
  if (Digest(published.text) != published.digest) {
    return {false, "the document does not match its digest"};
  }
  ConfigVersion version;
  version.version = published.version;
  version.author = published.author;
  version.wall_ms = published.wall_ms;
  version.text = published.text;
  version.sequence = sequence;
  version.change = published.id;
  version.environment = std::make_shared<const Environment>(
      ParseEnvironment("version " + std::to_string(published.version), published.text));
  if (before != nullptr) {
    if (published.keeps_zones) KeepZones(*before->environment, &version);
    if (version.environment->deployment != before->environment->deployment) {
      return {false, "the document is for deployment " + version.environment->deployment +
                         ", but this environment has deployment " +
                         before->environment->deployment};
    }
    const std::string zone = ChangedZone(*before->environment, *version.environment);
    if (!zone.empty() && !published.sets_zones) {
      return {false, "the document would change the state of availability zone " + zone};
    }
  }
  if (environment_name_.empty()) environment_name_ = published.environment;
  Append(std::move(version));
  return {};
}

RecordVerdict ReplicatedConfig::ApplyRecord(const ZoneChanged& change, Sequence sequence) {
  const std::string foreign_reason = ForeignReason(change.environment);
  if (!foreign_reason.empty()) return {false, foreign_reason};
  const ConfigVersion* before = newest();
  if (before == nullptr) return {false, "no configuration was published yet"};
  const AvailabilityZoneSpec* zone = before->environment->FindZone(change.zone);
  if (zone == nullptr) return {false, "no availability zone named '" + change.zone + "'"};
  if (zone->in == change.in) {
    return {false, "the availability zone is " + std::string(change.in ? "in" : "out") +
                       " already, since version " + std::to_string(before->version)};
  }
  ConfigVersion version;
  version.version = before->version + 1;
  version.author = change.author;
  version.wall_ms = change.wall_ms;
  version.text = WithZoneState(before->text, change.zone, change.in);
  version.sequence = sequence;
  version.change = change.id;
  Append(std::move(version));
  return {};
}

std::string ReplicatedConfig::ForeignReason(const std::string& environment) const {
  if (environment.empty() || environment_name_.empty() || environment == environment_name_) {
    return "";
  }
  return "this is the log of environment " + environment_name_ + ", not of " + environment;
}

void ReplicatedConfig::Append(ConfigVersion version) {
  if (!version.environment) {
    version.environment = std::make_shared<const Environment>(
        ParseEnvironment("version " + std::to_string(version.version), version.text));
  }
  version.digest = Digest(version.text);
  history_.push_back(std::make_shared<const ConfigVersion>(std::move(version)));
  if (history_.size() > kMaxHistory) history_.erase(history_.begin());
  changed_.notify_all();
}

const ConfigVersion* ReplicatedConfig::newest() const {
  return history_.empty() ? nullptr : history_.back().get();
}

nlohmann::json ReplicatedConfig::Snapshot() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  nlohmann::json versions = nlohmann::json::array();
  for (const auto& version : history_) {
    versions.push_back({{"version", version->version},
                        {"author", version->author},
                        {"wall_ms", version->wall_ms},
                        {"sequence", version->sequence},
                        {"change", version->change},
                        {"text", version->text}});
  }
  return {{"environment", environment_name_}, {"versions", versions}};
}

void ReplicatedConfig::Restore(const nlohmann::json& state) {
  const std::lock_guard<std::mutex> lock(mutex_);
  history_.clear();
  environment_name_ = state.at("environment").get<std::string>();
  for (const nlohmann::json& each : state.at("versions")) {
    ConfigVersion version;
    version.version = each.at("version").get<int64_t>();
    version.author = each.at("author").get<std::string>();
    version.wall_ms = each.at("wall_ms").get<int64_t>();
    version.sequence = each.at("sequence").get<Sequence>();
    version.change = each.value("change", "");
    version.text = each.at("text").get<std::string>();
    Append(std::move(version));
  }
}

std::shared_ptr<const ConfigVersion> ReplicatedConfig::current() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return history_.empty() ? nullptr : history_.back();
}

std::vector<std::shared_ptr<const ConfigVersion>> ReplicatedConfig::history() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return history_;
}

std::shared_ptr<const ConfigVersion> ReplicatedConfig::Find(int64_t version) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& each : history_) {
    if (each->version == version) return each;
  }
  return nullptr;
}

std::shared_ptr<const ConfigVersion> ReplicatedConfig::FindChange(const std::string& change) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& each : history_) {
    if (!change.empty() && each->change == change) return each;
  }
  return nullptr;
}

std::string ReplicatedConfig::environment_name() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return environment_name_;
}

bool ReplicatedConfig::WaitFor(int64_t version, Duration limit) const {
  std::unique_lock<std::mutex> lock(mutex_);
  return changed_.wait_for(
      lock, limit, [&] { return !history_.empty() && history_.back()->version >= version; });
}

}  // namespace turmericshift
