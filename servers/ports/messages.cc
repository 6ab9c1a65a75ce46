#include "servers/ports/messages.h"

#include <array>

#include "core/digest.h"

namespace turmericshift {

std::string AttemptRequestId(const std::string& request_id, int sending) {
  return request_id + "." + std::to_string(sending);
}

std::string CallerRequestId(const std::string& sending_id) {
  return sending_id.substr(0, sending_id.find('.'));
}

const char* RequestRunStateName(RequestRunState state) {
  static constexpr std::array<const char*, 4> kNames = {"never_will_run", "running", "ran",
                                                        "unknown"};
  return kNames.at(static_cast<size_t>(state));
}

int64_t DigestMembers(const std::vector<EntryMember>& members) {
  constexpr size_t kDigits = 15;
  int64_t result = 0;
  for (const EntryMember& member : members) {
    const std::string digest = Digest(member.process + " " + member.zone + " " + member.address);
    result ^= static_cast<int64_t>(std::stoull(digest.substr(0, kDigits), nullptr, 16));
  }
  return result;
}

}  // namespace turmericshift
