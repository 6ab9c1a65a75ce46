#include "servers/pool/job_intake.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/logging.h"

namespace turmericshift::pool {
namespace {

Error StoreAway() {
  return {ErrorKind::kLogUnavailable, Outcome::kNotRun, "the store does not answer"};
}

}  // namespace

void JobIntake::Submit(const JobSpec& spec, std::optional<Time> append_sent, PoolPlanner* planner,
                       OnDone done, Time now, Replies* replies) {
  const bool joins = planner->HasJob(spec.id);
  if (!joins && Stuck(append_sent, now)) {
    replies->push_back(Failed(std::move(done), StoreAway()));
    return;
  }
  const Ticket ticket = planner->Submit(spec);
  if (joins) {
    LogEvent(LogLevel::kInfo, "submission_joined",
             {{"job", spec.id},
              {"epoch", planner->epoch()},
              {"ticket", ticket},
              {"kept", planner->outbox().durable()}});
  }
  waiters_.push_back({spec.id, ticket, now, std::move(done)});
}

void JobIntake::Cancel(const std::string& id, int64_t wall_ms, PoolPlanner* planner, OnDone done,
                       Time now, Replies* replies) {
  const CancelResult result = planner->Cancel(id, wall_ms);
  if (!result.known) {
    // Without the store a successor may have taken the job in unheard of.
    const Error unknown(ErrorKind::kNotFound, Outcome::kNotRun, "no such job");
    replies->push_back(
        Failed(std::move(done), planner->LeadershipConfirmed(now) ? unknown : StoreAway()));
    return;
  }
  waiters_.push_back({"", result.ticket, now, std::move(done)});
}

void JobIntake::Answer(std::optional<Time> append_sent, PoolPlanner* planner, Time now,
                       Replies* replies) {
  const Ticket durable = planner->outbox().durable();
  std::erase_if(waiters_, [&](Waiter& waiter) {
    if (waiter.ticket > durable) return false;
    replies->push_back(Succeeded(std::move(waiter.done), Done{}));
    return true;
  });
  if (!Stuck(append_sent, now)) return;
  for (const std::string& id : LateSubmissions(now)) Withdraw(id, planner, now, replies);
}

void JobIntake::End(Replies* replies) {
  for (Waiter& waiter : waiters_) {
    replies->push_back(Failed(std::move(waiter.done),
                              Error(ErrorKind::kConnectionLost, Outcome::kUnknown,
                                    "the planner's duty ended before the record was kept")));
  }
  waiters_.clear();
}

bool JobIntake::Stuck(std::optional<Time> append_sent, Time now) const {
  return append_sent && now - *append_sent > stuck_after_;
}

std::vector<std::string> JobIntake::LateSubmissions(Time now) const {
  std::set<std::string> late;
  for (const Waiter& waiter : waiters_) {
    if (!waiter.submitted.empty() && now - waiter.since > stuck_after_) {
      late.insert(waiter.submitted);
    }
  }
  return {late.begin(), late.end()};
}

void JobIntake::Withdraw(const std::string& id, PoolPlanner* planner, Time now, Replies* replies) {
  if (!planner->WithdrawSubmission(id)) return;
  int callers = 0;
  Time first = now;
  std::erase_if(waiters_, [&](Waiter& waiter) {
    if (waiter.submitted != id) return false;
    ++callers;
    first = std::min(first, waiter.since);
    replies->push_back(Failed(std::move(waiter.done), StoreAway()));
    return true;
  });
  LogEvent(LogLevel::kWarning, "submission_withdrawn",
           {{"job", id},
            {"epoch", planner->epoch()},
            {"callers", callers},
            {"waited_s", Seconds(now - first)}});
}

}  // namespace turmericshift::pool
