#include "core/failure_episode.h"

#include <utility>

#include "core/logging.h"

namespace turmericshift {

FailureEpisode::FailureEpisode(std::string operation, nlohmann::json fields)
    : operation_(std::move(operation)), fields_(std::move(fields)) {}

void FailureEpisode::NoteFailure(const std::string& reason) {
  if (++failures_ > 1) return;
  nlohmann::json fields = fields_;
  fields["error"] = reason;
  LogEvent(LogLevel::kWarning, operation_ + "_failed", fields);
}

void FailureEpisode::NoteSuccess() {
  if (failures_ == 0) return;
  nlohmann::json fields = fields_;
  fields["failures"] = failures_;
  failures_ = 0;
  LogEvent(LogLevel::kInfo, operation_ + "_recovered", fields);
}

}  // namespace turmericshift
