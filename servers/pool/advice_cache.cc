#include "servers/pool/advice_cache.h"

#include <algorithm>

namespace turmericshift::pool {
namespace {

// A start reaches its worker within a poll and a call, usually 50 ms; a ticket that expires on the
// way costs a refusal. For short-lived tickets the margin is at most a quarter of their validity.
constexpr Duration kMaxDeliveryMargin = std::chrono::milliseconds(400);
constexpr int kMarginDivisor = 4;
// Limit of workers per call. The service takes time for each worker, and the platform assumes this
// number when it states how long a job should take.
constexpr size_t kMaxWorkersPerCall = 30;
// Added to the stated time of a call: calls of other VMs may be served before it.
constexpr Duration kCallAllowance = std::chrono::milliseconds(2000);
// After each call without an answer the next one gets twice the time, up to this limit or its
// stated time.
constexpr Duration kMaxBackoffTimeout = std::chrono::seconds(30);
constexpr int kMaxDoublings = 8;
// Delay after a failed or refused call; the service answers one call in some tens of milliseconds.
constexpr Duration kRetryDelay = std::chrono::milliseconds(100);

Duration Margin(Duration valid_for) {
  return std::min(kMaxDeliveryMargin, valid_for / kMarginDivisor);
}

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
  if (now >= verdict->valid_from + verdict->valid_for - Margin(verdict->valid_for)) {
    return std::nullopt;
  }
  return verdict->ticket;
}

bool AdviceCache::MayRun(const AdvisedStep& step, const AdvisedWorker& worker) const {
  const Verdict* verdict = Find(step, worker);
  return verdict == nullptr || verdict->may_run;
}

bool AdviceCache::NeedsNoRequest(const AdvisedStep& step, const AdvisedWorker& worker,
                                 Time now) const {
  return !MayRun(step, worker) || TicketFor(step, worker, now);
}

// An answer has to leave time to use its tickets: the margin within which a start arrives, and as
// much for the decision.
size_t AdviceCache::MaxWorkers(const AdviceTiming& timing) const {
  const size_t limit = std::min(kMaxWorkersPerCall, max_workers_.value_or(kMaxWorkersPerCall));
  if (timing.per_worker <= Duration::zero() || timing.validity <= Duration::zero()) return limit;
  const Duration left = timing.validity - 2 * Margin(timing.validity) - timing.decision;
  const int64_t in_time = std::max<int64_t>(1, left / timing.per_worker);
  return std::min(limit, static_cast<size_t>(in_time));
}

Duration AdviceCache::TimeoutOf(const AdviceRequest& request) const {
  const Duration stated = request.timing.decision +
                          static_cast<int64_t>(request.workers.size()) * request.timing.per_worker;
  const Duration timeout = stated + kCallAllowance;
  const int doublings = std::min(unanswered_calls_, kMaxDoublings);
  return std::max(timeout, std::min(timeout * (1 << doublings), kMaxBackoffTimeout));
}

void AdviceCache::RequestTickets(const AdvisedStep& step, const std::vector<AdvisedWorker>& workers,
                                 size_t with_room, const AdviceTiming& timing, Time now) {
  std::vector<AdvisedWorker> first;
  std::vector<AdvisedWorker> second;
  for (size_t i = 0; i < workers.size(); ++i) {
    if (NeedsNoRequest(step, workers[i], now)) continue;
    (i < with_room ? first : second).push_back(workers[i]);
  }
  AdviceRequest request = {step, {}, timing};
  for (std::vector<AdvisedWorker>* group : {&first, &second}) {
    // Workers that have been allowed before come first: the answer does not change.
    std::stable_partition(group->begin(), group->end(), [&](const AdvisedWorker& worker) {
      return Find(step, worker) != nullptr;
    });
    request.workers.insert(request.workers.end(), group->begin(), group->end());
  }
  if (!request.workers.empty()) requests_.push_back(std::move(request));
}

std::optional<AdviceRequest> AdviceCache::Next(Time now) {
  if (request_in_flight_ || now < retry_at_) return std::nullopt;
  while (!requests_.empty()) {
    AdviceRequest request = std::move(requests_.front());
    requests_.erase(requests_.begin());
    // A response may have arrived since the request was added.
    std::erase_if(request.workers, [&](const AdvisedWorker& worker) {
      return NeedsNoRequest(request.step, worker, now);
    });
    if (request.workers.empty()) continue;
    const size_t most = MaxWorkers(request.timing);
    if (request.workers.size() > most) request.workers.resize(most);
    request.timeout = TimeoutOf(request);
    request_in_flight_ = true;
    return request;
  }
  return std::nullopt;
}

void AdviceCache::Take(const AdviceRequest& request, const AdviceResponse& response, Time sent,
                       Time now) {
  request_in_flight_ = false;
  unanswered_calls_ = 0;
  const bool too_late = now >= sent + response.valid_for - Margin(response.valid_for);
  AdjustMaxWorkers(request.workers.size(), too_late);
  std::map<std::string, std::string> tickets;
  for (const AdviceTicket& allowed : response.allowed) tickets[allowed.worker_id] = allowed.ticket;
  Verdicts& verdicts = verdicts_[request.step];
  for (const AdvisedWorker& worker : request.workers) {
    const auto allowed = tickets.find(worker.id);
    const bool may_run = allowed != tickets.end();
    verdicts[worker] = {may_run, may_run ? allowed->second : "", too_late ? now : sent,
                        response.valid_for};
  }
}

void AdviceCache::AdjustMaxWorkers(size_t named, bool too_late) {
  if (too_late) {
    max_workers_ = std::max<size_t>(1, named / 2);
  } else if (max_workers_ && named >= *max_workers_) {
    max_workers_ = std::min(kMaxWorkersPerCall, *max_workers_ + 1);
  }
}

void AdviceCache::Failed(bool unanswered, Time now) {
  request_in_flight_ = false;
  retry_at_ = now + kRetryDelay;
  if (unanswered) ++unanswered_calls_;
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
