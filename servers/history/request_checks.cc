#include <map>

#include "servers/history/history_check.h"

namespace turmericshift {
namespace {

using Kind = HistoryEventKind;

bool HasRuns(const History& history) {
  for (const HistoryEvent& event : history.events) {
    if (event.kind == Kind::kRequestRun) return true;
  }
  return false;
}

constexpr const char* kNoRuns = "no request_run lines: add the agents' logs";

// A request with an idempotency key runs at most once, at one target.
class AtMostOnce : public HistoryCheck {
 public:
  const char* name() const override { return "at_most_once"; }

  CheckResult Check(const History& history, const HistoryBounds& /*bounds*/) const override {
    if (!HasRuns(history)) return NotChecked(kNoRuns);
    std::map<std::string, const HistoryEvent*> runs;
    for (const HistoryEvent& event : history.events) {
      if (event.kind != Kind::kRequestRun || event.key_tag.empty()) continue;
      const auto [first, inserted] = runs.emplace(event.key_tag, &event);
      if (!inserted) {
        return Violated("a request that may not be repeated ran twice", {*first->second, event});
      }
    }
    return Held();
  }
};

// The answer that a caller received is a target's answer to that request or, for a repeated key, to
// the first request with the key.
class AnswerMatchesRequest : public HistoryCheck {
 public:
  const char* name() const override { return "answer_matches_request"; }

  CheckResult Check(const History& history, const HistoryBounds& /*bounds*/) const override {
    if (!HasRuns(history)) return NotChecked(kNoRuns);
    std::multimap<std::string, const HistoryEvent*> answers;
    for (const HistoryEvent& event : history.events) {
      if (event.kind == Kind::kRequestRan) answers.emplace(KeyOf(event), &event);
    }
    for (const HistoryEvent& event : history.events) {
      if (event.kind != Kind::kRequestAnswered || event.digest.empty()) continue;
      const auto [first, last] = answers.equal_range(KeyOf(event));
      bool same = false;
      std::vector<HistoryEvent> evidence;
      for (auto answer = first; answer != last; ++answer) {
        same = same || answer->second->digest == event.digest;
        evidence.push_back(*answer->second);
      }
      if (same) continue;
      evidence.push_back(event);
      return Violated("the caller received an answer that no target gave to it", evidence);
    }
    return Held();
  }

 private:
  static std::string KeyOf(const HistoryEvent& event) {
    return event.key_tag.empty() ? event.request : event.key_tag;
  }
};

// A request that was answered with "not run" was not run by any target, before or after the answer,
// so the caller can safely send the request again.
class NotRunIsTrue : public HistoryCheck {
 public:
  const char* name() const override { return "not_run_is_true"; }

  CheckResult Check(const History& history, const HistoryBounds& /*bounds*/) const override {
    if (!HasRuns(history)) return NotChecked(kNoRuns);
    std::map<std::string, const HistoryEvent*> runs;
    for (const HistoryEvent& event : history.events) {
      if (event.kind == Kind::kRequestRun) runs.emplace(event.request, &event);
    }
    for (const HistoryEvent& event : history.events) {
      if (event.kind != Kind::kRequestAnswered || event.outcome != "not_run") continue;
      const auto run = runs.find(event.request);
      if (run == runs.end()) continue;
      return Violated("the caller was told not_run, but a target ran it", {*run->second, event});
    }
    return Held();
  }
};

}  // namespace

std::vector<std::unique_ptr<HistoryCheck>> RequestChecks() {
  std::vector<std::unique_ptr<HistoryCheck>> checks;
  checks.push_back(std::make_unique<AtMostOnce>());
  checks.push_back(std::make_unique<AnswerMatchesRequest>());
  checks.push_back(std::make_unique<NotRunIsTrue>());
  return checks;
}

}  // namespace turmericshift
