#include <map>
#include <set>

#include "servers/history/history_check.h"

namespace turmericshift {
namespace {

using Kind = HistoryEventKind;

// A job ends once. Two attempts of a job with state "done" mean that its work was done twice.
class JobDoneAtMostOnce : public HistoryCheck {
 public:
  const char* name() const override { return "job_done_at_most_once"; }

  CheckResult Check(const History& history, const HistoryBounds& /*bounds*/) const override {
    std::map<std::string, const HistoryEvent*> done;
    for (const HistoryEvent& event : history.events) {
      if (event.kind != Kind::kJobEnded || event.state != "done") continue;
      const auto [first, inserted] = done.emplace(event.job, &event);
      // The end of an attempt may be logged both by the planner that received it and by its
      // successor.
      if (inserted || first->second->attempt == event.attempt) continue;
      return Violated("two attempts of one job were done", {*first->second, event});
    }
    return Held();
  }
};

// Every accepted job has ended or is still named by recent events.
class NoJobForgotten : public HistoryCheck {
 public:
  const char* name() const override { return "no_job_forgotten"; }

  CheckResult Check(const History& history, const HistoryBounds& bounds) const override {
    const int64_t silence = duration_cast<std::chrono::milliseconds>(bounds.job_silence).count();
    std::map<std::string, const HistoryEvent*> open;
    std::set<std::string> ended;
    bool any = false;
    for (const HistoryEvent& event : history.events) {
      if (event.job.empty() || ended.count(event.job) != 0) continue;
      if (event.kind == Kind::kJobAccepted) {
        any = true;
        open[event.job] = &event;
      } else if (event.kind == Kind::kJobEnded) {
        ended.insert(event.job);
        open.erase(event.job);
      } else if (const auto job = open.find(event.job); job != open.end()) {
        job->second = &event;
      }
    }
    if (!any) return NotChecked("no job_accepted lines: add the entries' logs");
    const int64_t end = history.events.back().time_ms;
    for (const auto& [job, last] : open) {
      if (silence != 0 && end - last->time_ms <= silence) continue;
      return Violated("job " + job + " was accepted and then forgotten", {*last});
    }
    return Held();
  }
};

// A job that is covered by its workspace's guarantee starts within the reclaim bound, even if other
// workspaces have borrowed the room.
class GuaranteeReclaimedWithinBound : public HistoryCheck {
 public:
  const char* name() const override { return "guarantee_reclaimed_within_bound"; }

  CheckResult Check(const History& history, const HistoryBounds& bounds) const override {
    const int64_t bound = duration_cast<std::chrono::milliseconds>(bounds.reclaim).count();
    std::map<std::string, const HistoryEvent*> claims;
    bool any = false;
    for (const HistoryEvent& event : history.events) {
      for (const auto& [job, claim] : claims) {
        if (event.time_ms - claim->time_ms <= bound) continue;
        return Violated("job " + job + " waited for its guarantee longer than the bound",
                        {*claim, event});
      }
      if (event.kind == Kind::kGuaranteeClaimed) {
        any = true;
        claims.emplace(event.job, &event);
      }
      const bool over = event.kind == Kind::kGuaranteeWithdrawn ||
                        event.kind == Kind::kJobStarted || event.kind == Kind::kJobEnded;
      if (over) claims.erase(event.job);
    }
    return any ? Held() : NotChecked("no guarantee_claimed lines");
  }
};

}  // namespace

std::vector<std::unique_ptr<HistoryCheck>> JobChecks() {
  std::vector<std::unique_ptr<HistoryCheck>> checks;
  checks.push_back(std::make_unique<JobDoneAtMostOnce>());
  checks.push_back(std::make_unique<NoJobForgotten>());
  checks.push_back(std::make_unique<GuaranteeReclaimedWithinBound>());
  return checks;
}

}  // namespace turmericshift
