#include "servers/platform/worker_service.h"

#include <array>

namespace turmericshift {

const char* TaskPhaseName(TaskPhase phase) {
  static constexpr std::array<const char*, 7> kNames = {"held", "running", "throttled", "stopping",
                                                        "done", "failed",  "stopped"};
  return kNames.at(static_cast<size_t>(phase));
}

}  // namespace turmericshift
