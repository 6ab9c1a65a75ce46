// What the advice service has said of the steps whose queue asks it: which workers may run a step,
// and until when the tickets hold that their starts have to carry. Decides what to ask next; the
// asking itself is AdviceFetcher's.
//
// Load pattern: many steps wait at once, and the service answers one call at a time, each the later
// the more workers it names. So a call names a bounded number of workers, the steps that go first
// are asked for first, and nothing is asked again while the answer still holds.
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
  // The ticket for a start on a worker, good for long enough to get there; empty when there is
  // none.
  std::optional<std::string> TicketFor(const AdvisedStep& step, const AdvisedWorker& worker,
                                       Time now) const;
  // Whether the worker may come to run the step, as far as is known.
  bool MayRun(const AdvisedStep& step, const AdvisedWorker& worker) const;

  // What is wanted is told anew in each round, in the order in which it matters.
  void BeginRound() { wanted_.clear(); }
  // The step can't begin on what it has tickets for. `workers`: those on which it might, the best
  // first; those that it has a ticket for or may not run on are left out here.
  void RequestTickets(const AdvisedStep& step, const std::vector<AdvisedWorker>& workers, Time now);
  // What to ask now; nothing while an answer is awaited, or for a moment after a call that failed.
  std::optional<AdviceRequest> Next(Time now);
  // The answer to a question that was asked at `asked`.
  void Take(const AdviceRequest& question, const AdviceResponse& answer, Time asked);
  // The question was not answered.
  void Failed(Time now);
  // A worker turned the ticket away.
  void TicketRefused(const AdvisedStep& step, const AdvisedWorker& worker);
  // The job is over.
  void Forget(const std::string& job);

 private:
  // Nothing is known of workers that have no verdict. That one may run a step does not change, but
  // its ticket runs out.
  struct Verdict {
    bool may_run = false;
    std::string ticket;
    Time asked{};
    Duration valid_for{};
  };
  using Verdicts = std::map<AdvisedWorker, Verdict>;

  const Verdict* Find(const AdvisedStep& step, const AdvisedWorker& worker) const;
  // Nothing is to be asked of the worker now.
  bool Settled(const AdvisedStep& step, const AdvisedWorker& worker, Time now) const;

  std::map<AdvisedStep, Verdicts> verdicts_;
  std::vector<AdviceRequest> wanted_;
  bool asking_ = false;
  Time not_before_{};
};

}  // namespace turmericshift::pool
