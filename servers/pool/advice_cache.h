// Cache of the advice service's answers for steps of advised queues: which workers may run a step,
// and until when the tickets that their starts must carry are valid. Chooses the next request;
// AdviceFetcher makes the calls.
//
// Load pattern: many steps wait at the same time, and the service answers one call at a time, more
// slowly the more workers it names. So a call names a bounded number of workers, requests follow
// the order in which steps will start, and nothing is requested again while its answer is valid. A
// call gets the time that the queue states for it and some more: the service works on a call that
// was given up, and the next one waits behind it. It names no more workers than leave time to use
// the tickets.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "servers/pool/advice_service.h"
#include "servers/pool/job_progress.h"

namespace turmericshift::pool {

class AdviceCache {
 public:
  // Returns a ticket for a start on the worker that will still be valid when the start arrives
  // there; empty if there is none.
  std::optional<std::string> TicketFor(const AdvisedStep& step, const AdvisedWorker& worker,
                                       Time now) const;
  // Whether the worker may run the step; true also while the service has not answered for this
  // worker.
  bool MayRun(const AdvisedStep& step, const AdvisedWorker& worker) const;

  // Clears the pending requests. They are added again in each planning round, most important first.
  void BeginRound() { requests_.clear(); }
  // Requests tickets for a step that cannot start with the valid ones. `workers`: candidates, best
  // first, of which the first `with_room` have room for the step; workers with a valid ticket or a
  // negative answer are left out.
  void RequestTickets(const AdvisedStep& step, const std::vector<AdvisedWorker>& workers,
                      size_t with_room, const AdviceTiming& timing, Time now);
  // Returns the next request; empty while a call is in flight or shortly after a failed call.
  std::optional<AdviceRequest> Next(Time now);
  // Stores the response to a request. `sent`: time when the request was sent; tickets are valid
  // from then on, or from `now` if they have expired by then.
  void Take(const AdviceRequest& request, const AdviceResponse& response, Time sent, Time now);
  // Records that the call failed. `unanswered`: the service may still be working on it.
  void Failed(bool unanswered, Time now);
  // A worker refused the ticket, so it is discarded.
  void TicketRefused(const AdvisedStep& step, const AdvisedWorker& worker);
  // Removes the verdicts of a job that has ended.
  void Forget(const std::string& job);

 private:
  // The service's answer for one worker; a worker has no verdict until the service has answered for
  // it. `may_run` does not change over time, but the ticket expires.
  struct Verdict {
    bool may_run = false;
    std::string ticket;
    Time valid_from{};
    Duration valid_for{};
  };
  using Verdicts = std::map<AdvisedWorker, Verdict>;

  const Verdict* Find(const AdvisedStep& step, const AdvisedWorker& worker) const;
  // Whether no request is needed: the worker has a valid ticket or may not run the step.
  bool NeedsNoRequest(const AdvisedStep& step, const AdvisedWorker& worker, Time now) const;
  // Most workers that a call may name.
  size_t MaxWorkers(const AdviceTiming& timing) const;
  Duration TimeoutOf(const AdviceRequest& request) const;
  // Lowers the limit after an answer to a call for `named` workers whose tickets had expired, and
  // raises it after others.
  void AdjustMaxWorkers(size_t named, bool too_late);

  std::map<AdvisedStep, Verdicts> verdicts_;
  std::vector<AdviceRequest> requests_;
  bool request_in_flight_ = false;
  Time retry_at_{};
  // Calls without an answer since the last answer.
  int unanswered_calls_ = 0;
  // Most workers for a service that has answered too late for its tickets; unset: no such limit.
  std::optional<size_t> max_workers_;
};

}  // namespace turmericshift::pool
