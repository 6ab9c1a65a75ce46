// Registry of the requests that this agent has received. Only the ledger decides whether an attempt
// runs here. It lives as long as the agent's incarnation, and claims name the incarnation, so a
// restarted agent never answers for the previous process.
#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <string>

#include "servers/ports/messages.h"

namespace turmericshift {

// Limits of what a ledger stores. Evicting a row is always safe: after the eviction of a keyed
// attempt, no unknown attempt whose fence is at most the highest evicted fence runs. After the
// eviction of a request without a key, queries about requests of its age or older are answered with
// "unknown".
struct LedgerLimits {
  size_t max_rows = 8192;
  size_t max_answer_bytes = size_t{12} << 20;
  // Answers to requests without a key are stored only up to this size.
  size_t max_unkeyed_answer_bytes = size_t{64} << 10;
};

class RequestLedger {
 public:
  explicit RequestLedger(const LedgerLimits& limits = {}) : limits_(limits) {}

  // Registers the attempt before it waits for a slot. Throws Error(kFenced) if it must not run:
  // outcome not_run if the ledger has promised that it never runs, unknown if it was received
  // before or is older than the stored rows.
  void Begin(const ServiceRequest& request, Time now);
  // Records the answer of an attempt that ran.
  void Finish(const ServiceRequest& request, const ServiceAnswer& answer);
  // Records that the attempt has not reached the target. From now on the attempt is refused.
  void MarkNotRun(const ServiceRequest& request);
  // Records that the attempt may have run, with an unknown result.
  void MarkUnknown(const ServiceRequest& request);

  // Returns the state of an attempt. An attempt that was never received is marked as never to run,
  // unless its row may have been evicted; the state is then kUnknown.
  RequestStatusReply Resolve(const RequestStatusQuery& question, Time now);

  size_t rows() const;

 private:
  struct Row {
    RequestRunState state = RequestRunState::kRunning;
    bool keyed = false;
    int attempt = 0;
    Sequence fence = kNoSequence;
    Time begun_at{};
    ServiceAnswer answer;
    // Position in order_.
    std::list<std::string>::iterator place;
  };
  Row* Find(const ServiceRequest& request);
  Row& Add(const std::string& name, Sequence fence, int attempt, bool keyed, Time now);
  void StoreAnswer(Row* row, const ServiceAnswer& answer);
  void EvictAnswer(Row* row);
  void EvictOldest();
  void EvictOldestAnswers();

  const LedgerLimits limits_;
  mutable std::mutex mutex_;
  // One row per key (for its newest attempt) and one per request without a key.
  std::map<std::string, Row> rows_;
  // Names of all rows, oldest first.
  std::list<std::string> order_;
  // Names of rows that may have a stored answer, oldest first.
  std::deque<std::string> answered_;
  size_t answer_bytes_ = 0;
  Sequence fence_floor_ = kNoSequence;
  // Start time of the newest evicted request without a key.
  Time newest_evicted_at_{};
};

}  // namespace turmericshift
