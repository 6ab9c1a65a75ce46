// Log events as JSON lines on standard error, written through glog.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace turmericshift {

enum class LogLevel { kInfo, kWarning, kError };

// What every line of this process carries.
struct LogIdentity {
  std::string role;
  std::string process;
  std::string availability_zone;
};

// Sets glog up for JSON lines. Call once, before other threads start.
void InitLogging(const char* program, const LogIdentity& identity);

// One line: time, level, identity, `event` (snake_case) and `fields` (a JSON object).
// Fields must hold no token, key or body.
void LogEvent(LogLevel level, const std::string& event,
              const nlohmann::json& fields = nlohmann::json::object());

}  // namespace turmericshift
