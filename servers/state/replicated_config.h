// The configuration in force and its recent versions, replicated from the config stream.
#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "servers/config/environment.h"
#include "servers/state/replicated_state.h"

namespace turmericshift {

struct ConfigVersion {
  int64_t version = 0;
  std::string digest;
  std::string author;
  int64_t wall_ms = 0;
  std::string text;
  // Sequence of the record that created this version.
  Sequence sequence = kNoSequence;
  std::string change;
  // Never null in an accepted version.
  std::shared_ptr<const Environment> environment;
};

class ReplicatedConfig : public ReplicatedState {
 public:
  RecordVerdict Apply(const Record& record, Sequence sequence) override;
  nlohmann::json Snapshot() const override;
  void Restore(const nlohmann::json& state) override;

  // The version in force. Null before the first accepted document.
  std::shared_ptr<const ConfigVersion> current() const;
  // The most recent versions, oldest first.
  std::vector<std::shared_ptr<const ConfigVersion>> history() const;
  // Returns null if the version is not in the history.
  std::shared_ptr<const ConfigVersion> Find(int64_t version) const;
  // The version created by the record with this id. Null if the history has no such version.
  std::shared_ptr<const ConfigVersion> FindChange(const std::string& change) const;
  // Name of the environment that this stream belongs to. Empty until a record has named the
  // environment.
  std::string environment_name() const;
  // Waits up to `limit` until `version` or a later one is in force in this process. Returns whether
  // it is.
  bool WaitFor(int64_t version, Duration limit) const;

 private:
  RecordVerdict ApplyRecord(const ConfigPublished& published, Sequence sequence);
  RecordVerdict ApplyRecord(const ZoneChanged& change, Sequence sequence);
  // Returns why a record of `environment` does not belong to this stream, or "" if it does.
  std::string ForeignReason(const std::string& environment) const;
  // Throws Error(kInvalidInput) if the text is not a valid document.
  void Append(ConfigVersion version);
  const ConfigVersion* newest() const;

  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  std::string environment_name_;
  std::vector<std::shared_ptr<const ConfigVersion>> history_;
};

}  // namespace turmericshift
