// Log events as JSON lines: through glog on standard error, or, for processes that serve, from a
// thread of its own on standard output.
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

// From now on lines go to standard output, and nobody waits for a reader; see LogWriter.
void LogToStandardOutput();
// Waits until what was logged is written, at most a fifth of a second.
void FlushLog();

// One line: time, level, identity, `event` (snake_case) and `fields` (a JSON object).
// Fields must hold no token, key or body.
void LogEvent(LogLevel level, const std::string& event,
              const nlohmann::json& fields = nlohmann::json::object());

}  // namespace turmericshift
