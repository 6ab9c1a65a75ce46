// Size of a JSON text's parsed form, without parsing it.
#pragma once

#include <cstddef>
#include <string>

namespace turmericshift {

struct JsonShape {
  // Upper estimate of the memory of the parsed values and of what a handler makes of them.
  size_t parsed_bytes = 0;
  // Number of objects and lists that enclose the innermost value.
  int depth = 0;
};

// Reads `text` up to its end, whether it is JSON or not.
JsonShape ShapeOf(const std::string& text);

}  // namespace turmericshift
