// Measures the planner's lag behind its agents and limits the starts in flight accordingly.
//
// Load pattern: a planner that is stalled or has more to do than its VM can handle. Agents poll
// again as soon as they are answered, so the time since the last contact with most of them is the
// time for which their reports have been waiting unread in this process. Mistaken for silence of
// the agents, this lag would cause starts to be revoked and valid leases to expire, and placing all
// that work again would increase the lag further.
#pragma once

#include <map>
#include <string>

#include "core/clock.h"

namespace turmericshift::pool {

class PlannerLag {
 public:
  // Call when the agent's poll has been answered.
  void NotePollAnswered(const std::string& node, Time now) { waiting_since_[node] = now; }
  // Call when a report of the agent has been read.
  void NoteReportRead(const std::string& node, Time now);
  // Call when the answer to the agent's poll is held back, until `answer_by` at the latest.
  void NotePollHeld(const std::string& node, Time answer_by) { waiting_since_[node] = answer_by; }
  // Recomputes the lag; call at least every 100 ms.
  void Update(Time now);

  // The median time since the last contact with the agents, or the median wait for the agents that
  // reported recently, if that is shorter: when recent reports were read immediately, the other
  // agents are silent themselves. Falls by no more than one second per second, so that reports
  // which are still being read do not count as missing.
  Duration lag() const { return lag_; }
  // Whether the lag is so large that work which can wait is shed.
  bool overloaded() const;
  // Whether more may be started beside `starts_in_flight` unanswered starts.
  bool MayStartMore(int starts_in_flight) const { return starts_in_flight < max_starts_in_flight_; }

 private:
  // Lets a step of hundreds of tasks begin in one round while the planner has no lag.
  static constexpr int kMaxStartsInFlight = 400;

  struct ReportRead {
    Time at{};
    // Time from the agent's last answer, or the end of its poll, to this report.
    Duration waited{};
  };

  // The median wait for those agents that reported recently; the longest duration if they are too
  // few of `agents`.
  Duration MedianRecentWait(size_t agents, Time now) const;
  void AdjustStartLimit(Time now);

  // When each agent's last poll was answered; in the future while its poll is held.
  std::map<std::string, Time> waiting_since_;
  std::map<std::string, ReportRead> recent_reads_;
  Duration lag_{};
  Time updated_{};
  Time limit_adjusted_{};
  int max_starts_in_flight_ = kMaxStartsInFlight;
};

}  // namespace turmericshift::pool
