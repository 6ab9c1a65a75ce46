// Values with units, as settings, documents and job files write them.
#pragma once

#include <cstdint>
#include <string>

#include "core/clock.h"

namespace turmericshift {

// "250ms", "3s", "5min", "2h", "7d"; "0s" is allowed. Throws Error(kInvalidInput) otherwise.
Duration ParseDuration(const std::string& text);

// The shortest exact form that ParseDuration reads back; whole milliseconds.
std::string FormatDuration(Duration duration);

// "512B", "64KiB", "2MiB", "128GiB". Throws Error(kInvalidInput) otherwise.
int64_t ParseBytes(const std::string& text);

// A whole number within [low, high]. Throws Error(kInvalidInput) otherwise.
int64_t ParseInteger(const std::string& text, int64_t low, int64_t high);

// A decimal number within [low, high]. Throws Error(kInvalidInput) otherwise.
double ParseNumber(const std::string& text, double low, double high);

// "true" or "false". Throws Error(kInvalidInput) otherwise.
bool ParseBool(const std::string& text);

}  // namespace turmericshift
