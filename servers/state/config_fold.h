// The configuration in force, as a fold of the config stream.
#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "servers/config/environment.h"
#include "servers/state/stream_client.h"

namespace turmericshift {

struct ConfigVersion {
  int64_t version = 0;
  std::string digest;
  std::string author;
  int64_t wall_ms = 0;
  std::string text;
  // Never null once a version was accepted.
  std::shared_ptr<const Environment> environment;
};

class ConfigFold : public Fold {
 public:
  FoldVerdict Apply(const Record& record, Sequence sequence) override;

  // Null before the first accepted document.
  std::shared_ptr<const ConfigVersion> current() const;
  // Oldest first.
  std::vector<std::shared_ptr<const ConfigVersion>> history() const;
  // Waits until a version of at least `version` is in force here; returns whether it is.
  bool WaitFor(int64_t version, Duration limit) const;

 private:
  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  std::vector<std::shared_ptr<const ConfigVersion>> history_;
};

}  // namespace turmericshift
