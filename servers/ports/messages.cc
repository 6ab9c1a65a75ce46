#include "servers/ports/messages.h"

#include <array>

namespace turmericshift {

std::string SendingId(const std::string& request_id, int sending) {
  return request_id + "." + std::to_string(sending);
}

std::string CallerRequestId(const std::string& sending_id) {
  return sending_id.substr(0, sending_id.find('.'));
}

const char* SeenStateName(SeenState state) {
  static constexpr std::array<const char*, 4> kNames = {"never_will_run", "running", "ran",
                                                        "unknown"};
  return kNames.at(static_cast<size_t>(state));
}

}  // namespace turmericshift
