// Log events as JSON lines: through glog on standard error or, for daemons, on standard output from
// a separate thread.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace turmericshift {

enum class LogLevel { kInfo, kWarning, kError };

// Fields that every log line of this process contains.
struct LogIdentity {
  std::string role;
  std::string process;
  std::string availability_zone;
};

// Configures glog for JSON lines. Call this function before other threads start.
void InitLogging(const char* program, const LogIdentity& identity);

// Redirects log lines to standard output without blocking on the reader; see LogWriter.
void LogToStandardOutput();
// Waits, for 200 ms at most, until all lines logged so far are written.
void FlushLog();

// Logs a line with time, level, identity, `event` (snake_case) and `fields` (a JSON object).
// `fields` must not contain tokens, keys or bodies.
void LogEvent(LogLevel level, const std::string& event,
              const nlohmann::json& fields = nlohmann::json::object());

}  // namespace turmericshift
