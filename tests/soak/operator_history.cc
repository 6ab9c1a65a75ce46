#include "tests/soak/operator_history.h"

#include <algorithm>
#include <set>

#include "core/error.h"

namespace turmericshift::soak {
namespace {

// Limit for a command, including its wait for the change to be in force, however many entries are
// silent.
constexpr Duration kCommandTimeLimit = std::chrono::seconds(10);

constexpr auto kDone = static_cast<int>(ExitCode::kDone);
constexpr auto kFailed = static_cast<int>(ExitCode::kFailed);

std::string Describe(const CommandEnd& end) {
  return end.command + " (change '" + end.change + "', status " + std::to_string(end.status) +
         ", version " + std::to_string(end.version) + ", " + std::to_string(Seconds(end.duration)) +
         " s)";
}

}  // namespace

void OperatorHistory::RecordCommand(const CommandEnd& end) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ends_.push_back(end);
  longest_ = std::max(longest_, end.duration);
  if (end.duration > kCommandTimeLimit) AddViolation("too long: " + Describe(end));
  if (end.status != kDone && end.status != kFailed) {
    AddViolation("outcome not determined: " + Describe(end));
  }
  if (end.change.empty() && end.status != kDone) {
    AddViolation("read command failed: " + Describe(end));
  }
}

void OperatorHistory::RecordViolation(const std::string& what) {
  const std::lock_guard<std::mutex> lock(mutex_);
  AddViolation(what);
}

void OperatorHistory::CheckAtEnd(const nlohmann::json& history) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::map<std::string, int64_t> versions;
  int64_t last = 0;
  for (const nlohmann::json& each : history) {
    const auto version = each.at("version").get<int64_t>();
    if (last != 0 && version != last + 1) {
      AddViolation("gap in the versions after " + std::to_string(last));
    }
    last = version;
    const bool first = versions.emplace(each.at("change").get<std::string>(), version).second;
    if (!first) AddViolation("made twice: " + each.dump());
  }
  for (const CommandEnd& end : ends_) {
    if (!end.change.empty()) CheckChange(end, versions);
  }
}

void OperatorHistory::CheckChange(const CommandEnd& end,
                                  const std::map<std::string, int64_t>& versions) {
  const auto found = versions.find(end.change);
  const int64_t made = found == versions.end() ? 0 : found->second;
  // An accepted change reports its version, even if the subsequent wait failed.
  if (end.version != 0 && made != end.version) {
    AddViolation("reported as done but not in the history: " + Describe(end));
  }
  if (end.version == 0 && end.status == kFailed && made != 0) {
    AddViolation("reported as not done but in the history: " + Describe(end));
  }
}

std::vector<std::string> OperatorHistory::violations() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return violations_;
}

std::string OperatorHistory::Summary() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto made = std::count_if(ends_.begin(), ends_.end(),
                                  [](const CommandEnd& end) { return end.version != 0; });
  return std::to_string(ends_.size()) + " commands, " + std::to_string(made) +
         " changes made, longest " + std::to_string(Seconds(longest_)) + " s";
}

void OperatorHistory::AddViolation(const std::string& what) { violations_.push_back(what); }

}  // namespace turmericshift::soak
