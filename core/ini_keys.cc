#include "core/ini_keys.h"

#include <sstream>

#include "core/error.h"
#include "core/units.h"

namespace turmericshift {
namespace {

bool IsRequired(Presence presence) { return presence == Presence::kRequired; }

}  // namespace

IniKey TextKey(const std::string& name, Presence presence, std::string* target) {
  return {name, IsRequired(presence), [=](const std::string& value) {
            if (IsRequired(presence) && value.empty()) {
              throw Error(ErrorKind::kInvalidInput, "must not be empty");
            }
            *target = value;
          }};
}

IniKey IntegerKey(const std::string& name, Presence presence, int low, int high, int* target) {
  return {name, IsRequired(presence), [=](const std::string& value) {
            *target = static_cast<int>(ParseInteger(value, low, high));
          }};
}

IniKey BytesKey(const std::string& name, Presence presence, int64_t high, int64_t* target) {
  return {name, IsRequired(presence), [=](const std::string& value) {
            const int64_t bytes = ParseBytes(value);
            if (bytes < 1 || bytes > high) {
              throw Error(ErrorKind::kInvalidInput,
                          "'" + value + "' is not 1B to " + std::to_string(high) + "B");
            }
            *target = bytes;
          }};
}

IniKey DurationKey(const std::string& name, Presence presence, Duration* target) {
  return {name, IsRequired(presence),
          [=](const std::string& value) { *target = ParseDuration(value); }};
}

IniKey ShareKey(const std::string& name, Presence presence, double* target) {
  return {name, IsRequired(presence),
          [=](const std::string& value) { *target = ParseNumber(value, 0, 1); }};
}

IniKey WordsKey(const std::string& name, Presence presence, std::vector<std::string>* target) {
  return {name, IsRequired(presence), [=](const std::string& value) {
            std::istringstream words(value);
            std::string word;
            while (words >> word) target->push_back(word);
            if (IsRequired(presence) && target->empty()) {
              throw Error(ErrorKind::kInvalidInput, "must list at least one word");
            }
          }};
}

}  // namespace turmericshift
