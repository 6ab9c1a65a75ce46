#include "servers/history/history_check.h"

#include <algorithm>
#include <array>
#include <iterator>

#include "core/error.h"

namespace turmericshift {
namespace {

constexpr std::array<const char*, 3> kVerdictNames = {"held", "violated", "not_checked"};

std::vector<std::unique_ptr<HistoryCheck>> AllChecks() {
  std::vector<std::unique_ptr<HistoryCheck>> all;
  for (auto* group : {&RequestChecks, &ConfigChecks, &GangChecks, &JobChecks}) {
    std::vector<std::unique_ptr<HistoryCheck>> checks = group();
    std::move(checks.begin(), checks.end(), std::back_inserter(all));
  }
  return all;
}

}  // namespace

const char* CheckVerdictName(CheckVerdict verdict) {
  return kVerdictNames.at(static_cast<size_t>(verdict));
}

CheckResult HistoryCheck::Violated(const std::string& message,
                                   std::vector<HistoryEvent> evidence) const {
  return {name(), CheckVerdict::kViolated, message, std::move(evidence)};
}

CheckResult HistoryCheck::NotChecked(const std::string& message) const {
  return {name(), CheckVerdict::kNotChecked, message, {}};
}

std::vector<CheckResult> CheckHistory(const History& history, const HistoryBounds& bounds,
                                      const std::vector<std::string>& names) {
  std::vector<CheckResult> results;
  for (const auto& check : AllChecks()) {
    const bool wanted =
        names.empty() || std::find(names.begin(), names.end(), check->name()) != names.end();
    if (wanted) results.push_back(check->Check(history, bounds));
  }
  if (!names.empty() && results.size() != names.size()) {
    throw Error(ErrorKind::kInvalidInput, "unknown or repeated name of a check");
  }
  return results;
}

std::vector<std::string> HistoryCheckNames() {
  std::vector<std::string> names;
  for (const auto& check : AllChecks()) names.emplace_back(check->name());
  return names;
}

bool AllHeld(const std::vector<CheckResult>& results) {
  return std::none_of(results.begin(), results.end(), [](const CheckResult& result) {
    return result.verdict == CheckVerdict::kViolated;
  });
}

std::string DescribeResults(const std::vector<CheckResult>& results) {
  std::string text;
  for (const CheckResult& result : results) {
    text += result.check + ": " + CheckVerdictName(result.verdict);
    if (!result.message.empty()) text += ": " + result.message;
    text += "\n";
    for (const HistoryEvent& event : result.evidence) {
      text += "  " + event.place + " " + event.text + "\n";
    }
  }
  return text;
}

}  // namespace turmericshift
