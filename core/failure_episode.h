// Logs an episode of consecutive failures once, with its reason, and its end with their number.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace turmericshift {

// Not thread-safe.
class FailureEpisode {
 public:
  // The events are `<operation>_failed` and `<operation>_recovered`. `fields` is a JSON object that
  // both lines contain.
  explicit FailureEpisode(std::string operation, nlohmann::json fields = nlohmann::json::object());

  // Logs the failure if it is the first of the episode.
  void NoteFailure(const std::string& reason);
  // Logs the end of the episode if there is one.
  void NoteSuccess();

 private:
  const std::string operation_;
  const nlohmann::json fields_;
  int64_t failures_ = 0;
};

}  // namespace turmericshift
