#include "servers/platform/log_service.h"

#include <array>

namespace turmericshift {

const char* StreamName(Stream stream) {
  static constexpr std::array<const char*, kStreamCount> kNames = {"config", "requests", "jobs",
                                                                   "members"};
  return kNames.at(static_cast<size_t>(stream));
}

}  // namespace turmericshift
