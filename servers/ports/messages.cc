#include "servers/ports/messages.h"

#include <array>

namespace turmericshift {

const char* SeenStateName(SeenState state) {
  static constexpr std::array<const char*, 4> kNames = {"never_will_run", "running", "ran",
                                                        "unknown"};
  return kNames.at(static_cast<size_t>(state));
}

}  // namespace turmericshift
