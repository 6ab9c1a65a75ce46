#include "core/units.h"

#include <charconv>
#include <limits>
#include <string_view>

#include "core/error.h"

namespace turmericshift {
namespace {

struct Unit {
  std::string_view suffix;
  int64_t factor;
};

constexpr int64_t kMillisPerSecond = 1000;
constexpr Unit kDurationUnits[] = {{"d", 86400 * kMillisPerSecond},
                                   {"h", 3600 * kMillisPerSecond},
                                   {"min", 60 * kMillisPerSecond},
                                   {"s", kMillisPerSecond},
                                   {"ms", 1}};
constexpr Unit kByteUnits[] = {{"TiB", int64_t{1} << 40},
                               {"GiB", int64_t{1} << 30},
                               {"MiB", 1 << 20},
                               {"KiB", 1 << 10},
                               {"B", 1}};
// About 100 years; keeps every product within 64 bits, also in nanoseconds.
constexpr int64_t kMaxMillis = int64_t{36500} * 86400 * kMillisPerSecond;

[[noreturn]] void Refuse(const std::string& text, const std::string& expected) {
  throw Error(ErrorKind::kInvalidInput, "'" + text + "' is not " + expected);
}

// Returns the count in `text` multiplied by the factor of its unit. `expected` describes the valid
// forms for the error message.
template <size_t kCount>
int64_t ParseWithUnit(const std::string& text, const Unit (&units)[kCount], int64_t limit,
                      const std::string& expected) {
  int64_t count = 0;
  const char* end = text.data() + text.size();
  const auto [rest, failure] = std::from_chars(text.data(), end, count);
  if (failure != std::errc() || count < 0) Refuse(text, expected);
  const std::string_view suffix(rest, static_cast<size_t>(end - rest));
  for (const Unit& unit : units) {
    if (suffix != unit.suffix) continue;
    if (count > limit / unit.factor) Refuse(text, expected + " within range");
    return count * unit.factor;
  }
  Refuse(text, expected);
}

}  // namespace

Duration ParseDuration(const std::string& text) {
  return std::chrono::milliseconds(
      ParseWithUnit(text, kDurationUnits, kMaxMillis, "a duration such as 250ms, 3s, 5min, 2h"));
}

std::string FormatDuration(Duration duration) {
  const int64_t millis = duration_cast<std::chrono::milliseconds>(duration).count();
  if (millis == 0) return "0s";
  for (const Unit& unit : kDurationUnits) {
    if (millis % unit.factor == 0) {
      return std::to_string(millis / unit.factor) + std::string(unit.suffix);
    }
  }
  return std::to_string(millis) + "ms";
}

int64_t ParseBytes(const std::string& text) {
  return ParseWithUnit(text, kByteUnits, std::numeric_limits<int64_t>::max(),
                       "a size such as 512B, 64KiB, 2GiB");
}

int64_t ParseInteger(const std::string& text, int64_t low, int64_t high) {
  int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, failure] = std::from_chars(text.data(), end, value);
  if (failure != std::errc() || rest != end || value < low || value > high) {
    Refuse(text, "a whole number from " + std::to_string(low) + " to " + std::to_string(high));
  }
  return value;
}

double ParseNumber(const std::string& text, double low, double high) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, failure] = std::from_chars(text.data(), end, value);
  // The negated condition also rejects NaN.
  if (failure != std::errc() || rest != end || !(value >= low && value <= high)) {
    Refuse(text, "a number from " + std::to_string(low) + " to " + std::to_string(high));
  }
  return value;
}

bool ParseBool(const std::string& text) {
  if (text == "true") return true;
  if (text == "false") return false;
  Refuse(text, "true or false");
}

}  // namespace turmericshift
