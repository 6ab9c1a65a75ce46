// How far the planner is behind its agents, and how much it may take on.
//
// Load pattern: a planner that is held up, or that has more to do than its VM can. Agents poll
// again as soon as they are answered, so that the time which most of them have been waited for is
// time that their reports lie unread here. Taken for silence of theirs, starts are taken back and
// leases run out that are well, and placing all of it anew makes the planner later still.
#pragma once

#include <map>
#include <string>

#include "core/clock.h"

namespace turmericshift::pool {

class PlannerLateness {
 public:
  // The agent's poll has been answered.
  void Answered(const std::string& node, Time now) { waiting_since_[node] = now; }
  // A report of the agent has been read.
  void Returned(const std::string& node, Time now);
  // A report of the agent has come that will be answered by `answer_by`.
  void Heard(const std::string& node, Time answer_by) { waiting_since_[node] = answer_by; }
  // Looks at the agents anew; call at least each tenth of a second.
  void Update(Time now);

  // What most agents have been waited for, and those who came back of late as well: if they were
  // read at once, the others are silent by themselves. It falls by no more than a second each
  // second, so that reports which are still being read are not yet taken for missing.
  Duration lag() const { return late_; }
  // Too late to begin what can be left for a moment.
  bool sheds() const;
  // Whether more may be started beside `under_way` starts that have not been answered.
  bool MayStartMore(int under_way) const { return under_way < most_under_way_; }

 private:
  // A step of hundreds of tasks begins at once while the planner is in time.
  static constexpr int kMostUnderWay = 400;

  struct Return {
    Time at{};
    // How long the agent had been waited for.
    Duration waited{};
  };

  // What most of `agents` have been waited for that came back of late; the longest duration if too
  // few of them did.
  Duration WaitOfReturns(size_t agents, Time now) const;
  void Pace(Time now);

  // When each agent was last left to act; in the future while its poll waits here.
  std::map<std::string, Time> waiting_since_;
  std::map<std::string, Return> returns_;
  Duration late_{};
  Time updated_{};
  Time paced_{};
  int most_under_way_ = kMostUnderWay;
};

}  // namespace turmericshift::pool
