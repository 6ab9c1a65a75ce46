// Content digests (XXH3, 128 bits, as 32 hexadecimal digits): they find accidents, not attackers.
#pragma once

#include <string>
#include <string_view>

namespace turmericshift {

std::string Digest(std::string_view bytes);

// Names an idempotency key in logs without giving it away; "" for no key.
std::string KeyTag(const std::string& workspace, const std::string& key);

}  // namespace turmericshift
