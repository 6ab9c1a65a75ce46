// The configuration in force, as a fold of the config stream.
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
  // Of the record that made this version.
  Sequence sequence = kNoSequence;
  std::string change;
  // Never null once a version was accepted.
  std::shared_ptr<const Environment> environment;
};

class ReplicatedConfig : public ReplicatedState {
 public:
  RecordVerdict Apply(const Record& record, Sequence sequence) override;
  nlohmann::json Snapshot() const override;
  void Restore(const nlohmann::json& state) override;

  // Null before the first accepted document.
  std::shared_ptr<const ConfigVersion> current() const;
  // The newest versions, oldest first.
  std::vector<std::shared_ptr<const ConfigVersion>> history() const;
  // Null when the version is not in the history.
  std::shared_ptr<const ConfigVersion> Find(int64_t version) const;
  // The version that the record of this id made; null when none in the history.
  std::shared_ptr<const ConfigVersion> FindChange(const std::string& change) const;
  // Name of the environment whose documents this stream holds; "" while none was given.
  std::string environment_name() const;
  // Waits until a version of at least `version` is in force here; returns whether it is.
  bool WaitFor(int64_t version, Duration limit) const;

 private:
  RecordVerdict Take(const ConfigPublished& published, Sequence sequence);
  RecordVerdict Take(const ZoneChanged& change, Sequence sequence);
  // "" or why a record of that environment does not belong here.
  std::string Foreign(const std::string& environment) const;
  // Throws Error(kInvalidInput) for a text that is no document.
  void Append(ConfigVersion version);
  const ConfigVersion* newest() const;

  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  std::string environment_name_;
  std::vector<std::shared_ptr<const ConfigVersion>> history_;
};

}  // namespace turmericshift
