// Ready-made keys for BindSection: each reads one kind of value into a field. The target must live
// until the section is bound.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/ini.h"

namespace turmericshift {

enum class Presence { kOptional, kRequired };

// A required text may not be empty.
IniKey TextKey(const std::string& name, Presence presence, std::string* target);
IniKey IntegerKey(const std::string& name, Presence presence, int low, int high, int* target);
// A size with a unit, from 1B to `high` bytes.
IniKey BytesKey(const std::string& name, Presence presence, int64_t high, int64_t* target);
IniKey DurationKey(const std::string& name, Presence presence, Duration* target);
// A number from 0 to 1.
IniKey ShareKey(const std::string& name, Presence presence, double* target);
// Words separated by spaces; a required list may not be empty.
IniKey WordsKey(const std::string& name, Presence presence, std::vector<std::string>* target);

}  // namespace turmericshift
