// Content digests (XXH3, 128 bits, as 32 hexadecimal digits). They detect accidental corruption,
// but do not protect against deliberate tampering.
#pragma once

#include <string>
#include <string_view>

namespace turmericshift {

std::string Digest(std::string_view bytes);

// Returns a digest that identifies an idempotency key in logs without disclosing the key, or "" if
// `key` is empty.
std::string KeyTag(const std::string& workspace, const std::string& key);

}  // namespace turmericshift
