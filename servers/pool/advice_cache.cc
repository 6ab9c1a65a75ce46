#include <algorithm>

#include "servers/pool/advice_cache.h"

namespace turmericshift::pool {
namespace {

// A start reaches its worker within a poll and a call, 50 ms as a rule; a ticket that runs out on
// the way costs a refusal. Of short-lived tickets at most a quarter of their time is given up.
constexpr Duration kOnTheWay = std::chrono::milliseconds(400);
constexpr int kShareOnTheWay = 4;
// Workers named in one call. The service takes time for each, and the platform reckons with so many
// when it says how long a job should take.
constexpr size_t kMostNamed = 30;
// After a call that failed or was turned away: the service answers one call in some tens of
// milliseconds.
constexpr Duration kPause = std::chrono::milliseconds(100);

Duration Margin(Duration valid_for) { return std::min(kOnTheWay, valid_for / kShareOnTheWay); }

}  // namespace

const AdviceCache::Verdict* AdviceCache::Find(const AdvisedStep& step,
                                              const AdvisedWorker& worker) const {
  const auto verdicts = verdicts_.find(step);
  if (verdicts == verdicts_.end()) return nullptr;
  const auto found = verdicts->second.find(worker);
  return found == verdicts->second.end() ? nullptr : &found->second;
}

std::optional<std::string> AdviceCache::TicketFor(const AdvisedStep& step,
                                                  const AdvisedWorker& worker, Time now) const {
  const Verdict* verdict = Find(step, worker);
  if (verdict == nullptr || verdict->ticket.empty()) return std::nullopt;
  if (now >= verdict->asked + verdict->valid_for - Margin(verdict->valid_for)) return std::nullopt;
  return verdict->ticket;
}

bool AdviceCache::MayRun(const AdvisedStep& step, const AdvisedWorker& worker) const {
  const Verdict* verdict = Find(step, worker);
  return verdict == nullptr || verdict->may_run;
}

bool AdviceCache::Settled(const AdvisedStep& step, const AdvisedWorker& worker, Time now) const {
  return !MayRun(step, worker) || TicketFor(step, worker, now);
}

void AdviceCache::RequestTickets(const AdvisedStep& step, const std::vector<AdvisedWorker>& workers,
                                 Time now) {
  std::vector<AdvisedWorker> known_good;
  std::vector<AdvisedWorker> unknown;
  for (const AdvisedWorker& worker : workers) {
    if (Settled(step, worker, now)) continue;
    (Find(step, worker) != nullptr ? known_good : unknown).push_back(worker);
  }
  AdviceRequest question = {step, std::move(known_good)};
  question.workers.insert(question.workers.end(), unknown.begin(), unknown.end());
  if (question.workers.size() > kMostNamed) question.workers.resize(kMostNamed);
  if (!question.workers.empty()) wanted_.push_back(std::move(question));
}

std::optional<AdviceRequest> AdviceCache::Next(Time now) {
  if (asking_ || now < not_before_) return std::nullopt;
  while (!wanted_.empty()) {
    AdviceRequest question = std::move(wanted_.front());
    wanted_.erase(wanted_.begin());
    // The answer to the question before may have come after this one was wanted.
    std::erase_if(question.workers,
                  [&](const AdvisedWorker& worker) { return Settled(question.step, worker, now); });
    if (question.workers.empty()) continue;
    asking_ = true;
    return question;
  }
  return std::nullopt;
}

void AdviceCache::Take(const AdviceRequest& question, const AdviceResponse& answer, Time asked) {
  asking_ = false;
  std::map<std::string, std::string> tickets;
  for (const AdviceTicket& allowed : answer.allowed) tickets[allowed.worker_id] = allowed.ticket;
  Verdicts& verdicts = verdicts_[question.step];
  for (const AdvisedWorker& worker : question.workers) {
    const auto allowed = tickets.find(worker.id);
    const bool may_run = allowed != tickets.end();
    verdicts[worker] = {may_run, may_run ? allowed->second : "", asked, answer.valid_for};
  }
}

void AdviceCache::Failed(Time now) {
  asking_ = false;
  not_before_ = now + kPause;
}

void AdviceCache::TicketRefused(const AdvisedStep& step, const AdvisedWorker& worker) {
  const auto verdicts = verdicts_.find(step);
  if (verdicts == verdicts_.end()) return;
  const auto found = verdicts->second.find(worker);
  if (found != verdicts->second.end()) found->second.ticket.clear();
}

void AdviceCache::Forget(const std::string& job) {
  std::erase_if(verdicts_, [&](const auto& row) { return row.first.job == job; });
}

}  // namespace turmericshift::pool
