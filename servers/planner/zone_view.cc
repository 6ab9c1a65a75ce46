#include "servers/planner/zone_view.h"

#include <array>

namespace turmericshift {

const char* StopReasonName(StopReason reason) {
  static constexpr std::array<const char*, 4> kNames = {"cancelled", "reclaim", "defragment",
                                                        "zone_out"};
  return kNames.at(static_cast<size_t>(reason));
}

}  // namespace turmericshift
