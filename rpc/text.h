// Conversions between strings and Cap'n Proto texts that keep zero characters. The library's own
// conversions end a string at its first one: that of std::string to a text, and Reader::cStr().
#pragma once

#include <capnp/blob.h>

#include <string>

namespace turmericshift {

inline std::string Text(capnp::Text::Reader text) { return {text.begin(), text.size()}; }

// The result refers to `text`, which must outlive it.
inline capnp::Text::Reader AsText(const std::string& text) { return {text.data(), text.size()}; }

}  // namespace turmericshift
