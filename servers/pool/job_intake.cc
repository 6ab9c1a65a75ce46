#include "servers/pool/job_intake.h"

#include <algorithm>
#include <set>
#include <utility>

#include "core/logging.h"

namespace turmericshift::pool {
namespace {

Error StoreUnavailable() {
  return {ErrorKind::kLogUnavailable, Outcome::kNotRun, "the store does not answer"};
}

}  // namespace

void JobIntake::Submit(const JobSpec& spec, std::optional<Time> append_sent, PoolPlanner* planner,
                       OnDone done, Time now, Replies* replies) {
  const bool joins = planner->HasJob(spec.id);
  if (!joins && StoreStalled(append_sent, now)) {
    replies->push_back(Failed(std::move(done), StoreUnavailable()));
    return;
  }
  if (!joins) {
    if (const std::optional<Error> rejection = planner->RejectionFor(spec, now)) {
      const Ticket proof = planner->outbox().Put(kHeartbeatKey, "1");
      waiters_.push_back({"", proof, now, std::move(done), rejection});
      return;
    }
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
  if (!result.job_exists) {
    // While the store is unresponsive, a successor may have accepted the job without this planner's
    // knowledge.
    const Error unknown(ErrorKind::kNotFound, Outcome::kNotRun, "no such job");
    replies->push_back(
        Failed(std::move(done), planner->LeadershipConfirmed(now) ? unknown : StoreUnavailable()));
    return;
  }
  waiters_.push_back({"", result.ticket, now, std::move(done)});
}

void JobIntake::Answer(std::optional<Time> append_sent, PoolPlanner* planner, Time now,
                       Replies* replies) {
  const Ticket durable = planner->outbox().durable();
  std::erase_if(waiters_, [&](Waiter& waiter) {
    if (waiter.ticket > durable) return false;
    replies->push_back(waiter.rejection ? Failed(std::move(waiter.done), *waiter.rejection)
                                        : Succeeded(std::move(waiter.done), Done{}));
    return true;
  });
  if (!StoreStalled(append_sent, now)) return;
  for (const std::string& id : TimedOutSubmissions(now)) Withdraw(id, planner, now, replies);
}

void JobIntake::End(Replies* replies) {
  for (Waiter& waiter : waiters_) {
    replies->push_back(Failed(std::move(waiter.done),
                              Error(ErrorKind::kConnectionLost, Outcome::kUnknown,
                                    "the planner's duty ended before the record was kept")));
  }
  waiters_.clear();
}

bool JobIntake::StoreStalled(std::optional<Time> append_sent, Time now) const {
  return append_sent && now - *append_sent > stall_timeout_;
}

std::vector<std::string> JobIntake::TimedOutSubmissions(Time now) const {
  std::set<std::string> timed_out;
  for (const Waiter& waiter : waiters_) {
    if (!waiter.submitted.empty() && now - waiter.since > stall_timeout_) {
      timed_out.insert(waiter.submitted);
    }
  }
  return {timed_out.begin(), timed_out.end()};
}

void JobIntake::Withdraw(const std::string& id, PoolPlanner* planner, Time now, Replies* replies) {
  if (!planner->WithdrawSubmission(id)) return;
  int callers = 0;
  Time first = now;
  std::erase_if(waiters_, [&](Waiter& waiter) {
    if (waiter.submitted != id) return false;
    ++callers;
    first = std::min(first, waiter.since);
    replies->push_back(Failed(std::move(waiter.done), StoreUnavailable()));
    return true;
  });
  LogEvent(LogLevel::kWarning, "submission_withdrawn",
           {{"job", id},
            {"epoch", planner->epoch()},
            {"callers", callers},
            {"waited_s", Seconds(now - first)}});
}

}  // namespace turmericshift::pool
