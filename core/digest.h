// Content digests (XXH3, 128 bits, as 32 hexadecimal digits): they find accidents, not attackers.
#pragma once

#include <string>
#include <string_view>

namespace turmericshift {

std::string Digest(std::string_view bytes);

}  // namespace turmericshift
