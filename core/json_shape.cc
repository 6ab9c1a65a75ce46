#include "core/json_shape.h"

#include <algorithm>

namespace turmericshift {
namespace {

// Texts are copied into the parsed form and from there into a handler's types.
constexpr size_t kTextCopies = 3;
// Memory for one value, counted at the character that precedes it. A list doubles its capacity
// while it grows.
constexpr size_t kListItemBytes = 64;
constexpr size_t kFieldBytes = 128;
constexpr size_t kListBytes = 128;
constexpr size_t kObjectBytes = 512;

}  // namespace

JsonShape ShapeOf(const std::string& text) {
  JsonShape shape;
  shape.parsed_bytes = kTextCopies * text.size();
  int depth = 0;
  bool quoted = false;
  for (size_t i = 0; i < text.size(); ++i) {
    const char character = text[i];
    if (quoted) {
      if (character == '\\') ++i;
      quoted = character != '"';
      continue;
    }
    switch (character) {
      case '"':
        quoted = true;
        break;
      case ',':
        shape.parsed_bytes += kListItemBytes;
        break;
      case ':':
        shape.parsed_bytes += kFieldBytes;
        break;
      case '[':
      case '{':
        shape.parsed_bytes += character == '[' ? kListBytes : kObjectBytes;
        shape.depth = std::max(shape.depth, ++depth);
        break;
      case ']':
      case '}':
        --depth;
        break;
      default:
        break;
    }
  }
  return shape;
}

}  // namespace turmericshift
