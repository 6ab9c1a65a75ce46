// Keys for BindSection that parse common types into a field. `target` must outlive the call of
// BindSection.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ini.h"

namespace turmericshift {

enum class Presence { kOptional, kRequired };

// A text. If the key is required, the text must not be empty.
IniKey TextKey(const std::string& name, Presence presence, std::string* target);
// A whole number from `low` to `high`.
IniKey IntegerKey(const std::string& name, Presence presence, int low, int high, int* target);
// A size with a unit, from 1B to `high` bytes.
IniKey BytesKey(const std::string& name, Presence presence, int64_t high, int64_t* target);
// A duration as ParseDuration reads it.
IniKey DurationKey(const std::string& name, Presence presence, Duration* target);
// A number from 0 to 1.
IniKey ShareKey(const std::string& name, Presence presence, double* target);
// Words separated by white space. If the key is required, the list must not be empty.
IniKey WordsKey(const std::string& name, Presence presence, std::vector<std::string>* target);

}  // namespace turmericshift
