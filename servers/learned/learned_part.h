// What a planner has learned while it planned, such as run times, as one part that can be saved and
// loaded by the next planner.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "core/clock.h"

namespace turmericshift::learned {

class LearnedPart {
 public:
  virtual ~LearnedPart() = default;

  // Name of the part in stored records: lower-case letters and underscores.
  virtual std::string name() const = 0;
  // Version of the format that Save writes. Load is called only with records of this version.
  virtual int version() const = 0;
  // A saved state that is older than this is of no use.
  virtual Duration max_age() const = 0;
  // The state in at most `max_bytes` bytes of JSON text. What does not fit is left out, the least
  // certain knowledge first.
  virtual nlohmann::json Save(size_t max_bytes, Time now) const = 0;
  // Replaces the state by one that was saved `age` ago. Throws Error(kInvalidInput) for malformed
  // data, with the state unchanged.
  virtual void Load(const nlohmann::json& data, Duration age, Time now) = 0;
};

}  // namespace turmericshift::learned
