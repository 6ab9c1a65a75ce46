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
  if (now >= verdict->sent + verdict->valid_for - Margin(verdict->valid_for)) return std::nullopt;
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

void AdviceCache::RequestTickets(const AdvisedStep& step, const std::vector<AdvisedWorker>& workers,
                                 Time now) {
  std::vector<AdvisedWorker> known_allowed;
  std::vector<AdvisedWorker> unknown;
  for (const AdvisedWorker& worker : workers) {
    if (NeedsNoRequest(step, worker, now)) continue;
    (Find(step, worker) != nullptr ? known_allowed : unknown).push_back(worker);
  }
  AdviceRequest request = {step, std::move(known_allowed)};
  request.workers.insert(request.workers.end(), unknown.begin(), unknown.end());
  if (request.workers.size() > kMaxWorkersPerCall) request.workers.resize(kMaxWorkersPerCall);
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
    request_in_flight_ = true;
    return request;
  }
  return std::nullopt;
}

void AdviceCache::Take(const AdviceRequest& request, const AdviceResponse& response, Time sent) {
  request_in_flight_ = false;
  std::map<std::string, std::string> tickets;
  for (const AdviceTicket& allowed : response.allowed) tickets[allowed.worker_id] = allowed.ticket;
  Verdicts& verdicts = verdicts_[request.step];
  for (const AdvisedWorker& worker : request.workers) {
    const auto allowed = tickets.find(worker.id);
    const bool may_run = allowed != tickets.end();
    verdicts[worker] = {may_run, may_run ? allowed->second : "", sent, response.valid_for};
  }
}

void AdviceCache::Failed(Time now) {
  request_in_flight_ = false;
  retry_at_ = now + kRetryDelay;
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
