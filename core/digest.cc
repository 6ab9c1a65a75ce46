#include "core/digest.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <cstdio>

namespace turmericshift {

std::string Digest(std::string_view bytes) {
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),  // NOLINT(google-runtime-int)
                static_cast<unsigned long long>(hash.low64));  // NOLINT(google-runtime-int)
  return text.data();
}

std::string KeyTag(const std::string& workspace, const std::string& key) {
  return key.empty() ? "" : Digest(workspace + "/" + key);
}

}  // namespace turmericshift
