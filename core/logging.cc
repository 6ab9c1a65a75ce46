#include "core/logging.h"

#include <glog/logging.h>
#include <unistd.h>

#include <mutex>
#include <utility>

#include "core/clock.h"
#include "core/log_writer.h"

namespace turmericshift {
namespace {

// Identity and writer are never destroyed, since threads may log until the process exits.
LogIdentity& Identity() {
  static auto* const identity = new LogIdentity;
  return *identity;
}

LogWriter*& Writer() {
  static LogWriter* writer = nullptr;
  return writer;
}

constexpr Duration kFlushLimit = std::chrono::milliseconds(200);

}  // namespace

void LogToStandardOutput() {
  if (Writer() == nullptr) Writer() = new LogWriter(STDOUT_FILENO);
}

void FlushLog() {
  if (Writer() != nullptr) Writer()->Flush(kFlushLimit);
}

void InitLogging(const char* program, const LogIdentity& identity) {
  Identity() = identity;
  FLAGS_log_prefix = false;
  FLAGS_logtostderr = true;
  static std::once_flag once;
  std::call_once(once, [program] { google::InitGoogleLogging(program); });
}

void LogEvent(LogLevel level, const std::string& event, const nlohmann::json& fields) {
  static constexpr const char* kNames[] = {"info", "warning", "error"};
  nlohmann::json line = {{"time_ms", DefaultClock().WallMillis()},
                         {"level", kNames[static_cast<int>(level)]},
                         {"event", event}};
  const LogIdentity& identity = Identity();
  if (!identity.role.empty()) line["role"] = identity.role;
  if (!identity.process.empty()) line["process"] = identity.process;
  if (!identity.availability_zone.empty()) line["zone"] = identity.availability_zone;
  line.update(fields);
  std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (Writer() != nullptr) return Writer()->Put(level, std::move(text));
  switch (level) {
    case LogLevel::kInfo:
      LOG(INFO) << text;
      break;
    case LogLevel::kWarning:
      LOG(WARNING) << text;
      break;
    case LogLevel::kError:
      LOG(ERROR) << text;
      break;
  }
}

}  // namespace turmericshift
