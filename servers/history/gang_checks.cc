#include <map>
#include <optional>

#include "servers/history/history_check.h"

namespace turmericshift {
namespace {

using Kind = HistoryEventKind;

// Identifies an attempt of a job.
struct AttemptId {
  std::string job;
  int64_t attempt = 0;
  auto operator<=>(const AttemptId&) const = default;
};

// The running members of an attempt, by worker.
struct AttemptMembers {
  // Number of tasks of the whole gang; 0 until the gang_planned event.
  int planned = 0;
  int running = 0;
  std::map<std::string, int> by_worker;
  // First event after which only some of the gang's tasks ran; null while all or none of them run.
  const HistoryEvent* partial_since = nullptr;
};

using Attempts = std::map<AttemptId, AttemptMembers>;

bool IsMemberEvent(Kind kind) {
  return kind == Kind::kGangReleased || kind == Kind::kGangStopped || kind == Kind::kGangForgotten;
}

// Applies an event of a gang's member.
void ApplyMemberEvent(const HistoryEvent& event, AttemptMembers* state) {
  if (event.kind == Kind::kGangReleased) {
    int& here = state->by_worker[event.process];
    state->running += event.tasks - here;
    here = event.tasks;
  } else {
    const auto here = state->by_worker.find(event.process);
    if (here == state->by_worker.end()) return;
    state->running -= here->second;
    state->by_worker.erase(here);
  }
}

// A gang does not run with only part of its members for longer than its lease takes to expire.
class NoPartialGang : public HistoryCheck {
 public:
  const char* name() const override { return "no_partial_gang"; }

  CheckResult Check(const History& history, const HistoryBounds& bounds) const override {
    const int64_t bound = duration_cast<std::chrono::milliseconds>(bounds.partial_gang).count();
    Attempts attempts;
    bool any = false;
    for (const HistoryEvent& event : history.events) {
      if (const auto overdue = FirstOverdue(attempts, event.time_ms - bound)) {
        return Violated("part of a gang ran alone for longer than the bound", {*overdue, event});
      }
      AttemptMembers& state = attempts[{event.job, event.attempt}];
      if (event.kind == Kind::kGangPlanned) state.planned = event.tasks;
      if (!IsMemberEvent(event.kind)) continue;
      any = true;
      ApplyMemberEvent(event, &state);
      const bool partial = state.running > 0 && state.running < state.planned;
      if (!partial) state.partial_since = nullptr;
      if (partial && state.partial_since == nullptr) state.partial_since = &event;
      if (state.running == 0) attempts.erase({event.job, event.attempt});
    }
    return any ? Held() : NotChecked("no gang_released lines: add the agents' logs");
  }

 private:
  static std::optional<HistoryEvent> FirstOverdue(const Attempts& attempts, int64_t limit_ms) {
    for (const auto& [name, state] : attempts) {
      if (state.partial_since != nullptr && state.partial_since->time_ms < limit_ms) {
        return *state.partial_since;
      }
    }
    return std::nullopt;
  }
};

// Two attempts of a job never run at the same time, as the work would be done twice.
class NoTwoAttemptsAtOnce : public HistoryCheck {
 public:
  const char* name() const override { return "no_two_attempts_at_once"; }

  CheckResult Check(const History& history, const HistoryBounds& /*bounds*/) const override {
    std::map<std::string, std::map<int64_t, AttemptMembers>> jobs;
    std::map<AttemptId, const HistoryEvent*> first_release;
    bool any = false;
    for (const HistoryEvent& event : history.events) {
      if (!IsMemberEvent(event.kind)) continue;
      any = true;
      std::map<int64_t, AttemptMembers>& attempts = jobs[event.job];
      ApplyMemberEvent(event, &attempts[event.attempt]);
      if (attempts[event.attempt].running == 0) attempts.erase(event.attempt);
      if (event.kind != Kind::kGangReleased) continue;
      first_release.emplace(AttemptId{event.job, event.attempt}, &event);
      for (const auto& [attempt, state] : attempts) {
        if (attempt == event.attempt) continue;
        return Violated("two attempts of one job run at once",
                        {*first_release[{event.job, attempt}], event});
      }
    }
    return any ? Held() : NotChecked("no gang_released lines: add the agents' logs");
  }
};

}  // namespace

std::vector<std::unique_ptr<HistoryCheck>> GangChecks() {
  std::vector<std::unique_ptr<HistoryCheck>> checks;
  checks.push_back(std::make_unique<NoPartialGang>());
  checks.push_back(std::make_unique<NoTwoAttemptsAtOnce>());
  return checks;
}

}  // namespace turmericshift
