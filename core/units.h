// Parsing and formatting of values with units in settings, documents and job files.
#pragma once

#include <cstdint>
#include <string>

#include "core/clock.h"

namespace turmericshift {

// Parses a duration such as "250ms", "3s", "5min", "2h" or "7d"; "0s" is allowed. Throws
// Error(kInvalidInput) for any other text.
Duration ParseDuration(const std::string& text);

// Formats a duration, truncated to whole milliseconds, in the largest unit that is exact.
// ParseDuration reads the result.
std::string FormatDuration(Duration duration);

// Parses a size such as "512B", "64KiB", "2MiB", "128GiB" or "1TiB". Throws Error(kInvalidInput)
// for any other text.
int64_t ParseBytes(const std::string& text);

// Parses a whole number in [low, high]. Throws Error(kInvalidInput) for any other text.
int64_t ParseInteger(const std::string& text, int64_t low, int64_t high);

// Parses a decimal number in [low, high]. Throws Error(kInvalidInput) for any other text.
double ParseNumber(const std::string& text, double low, double high);

// Parses "true" or "false". Throws Error(kInvalidInput) for any other text.
bool ParseBool(const std::string& text);

}  // namespace turmericshift
