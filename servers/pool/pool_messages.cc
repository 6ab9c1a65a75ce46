#include "servers/pool/pool_messages.h"

#include <array>

#include "core/error.h"
#include "core/units.h"

namespace turmericshift::pool {
namespace {

struct EndName {
  EndKind kind;
  const char* name;
};

constexpr std::array<EndName, 6> kEndNames = {{
    {EndKind::kDone, "done"},
    {EndKind::kFailed, "failed"},
    {EndKind::kStopped, "stopped"},
    {EndKind::kLeaseExpired, "lapsed"},
    {EndKind::kGangBroken, "broken"},
    {EndKind::kPartialGang, "alone"},
}};

constexpr int64_t kMaxIndex = 1'000'000'000;

}  // namespace

const char* EndKindName(EndKind kind) {
  for (const EndName& row : kEndNames) {
    if (row.kind == kind) return row.name;
  }
  return "";
}

EndKind EndKindFromName(const std::string& name) {
  for (const EndName& row : kEndNames) {
    if (name == row.name) return row.kind;
  }
  throw Error(ErrorKind::kInvalidInput, "'" + name + "' is not the name of an end kind");
}

std::string TaskName(const TaskId& task) {
  return task.job + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step) + "." +
         std::to_string(task.index);
}

TaskId ParseTaskName(const std::string& name) {
  std::vector<std::string> parts;
  size_t start = 0;
  for (size_t dot = name.find('.'); dot != std::string::npos; dot = name.find('.', start)) {
    parts.push_back(name.substr(start, dot - start));
    start = dot + 1;
  }
  parts.push_back(name.substr(start));
  if (parts.size() != 4 || parts[0].empty()) {
    throw Error(ErrorKind::kInvalidInput,
                "'" + name + "' is not a task name of the form ID.occurrence.step.index");
  }
  return {parts[0], static_cast<int>(ParseInteger(parts[1], 0, kMaxIndex)),
          static_cast<int>(ParseInteger(parts[2], 0, kMaxIndex)),
          static_cast<int>(ParseInteger(parts[3], 0, kMaxIndex))};
}

}  // namespace turmericshift::pool
