// Claims and outcomes of requests that must not run twice, replicated from the requests stream.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_set>

#include "servers/state/replicated_state.h"

namespace turmericshift {

// State of one idempotency key.
struct RequestState {
  // Claim of the attempt that owns the key now.
  RequestClaimed claim;
  Sequence fence = kNoSequence;
  // Set when the outcome of the owning attempt is recorded.
  std::optional<RequestEnded> ended;
  // The owning attempt is recorded as never run, so the next attempt may be claimed.
  bool never_ran = false;
  // The key was used, but its outcome is no longer stored. The request must never run again.
  bool expired = false;
};

// Limits of what is stored. The limits must be equal in every process, or the replicas would
// differ. A dropped request is remembered as expired until `max_expired` later requests have
// expired.
struct RequestRetentionLimits {
  size_t max_ended = 20000;
  size_t max_body_bytes = size_t{4} << 20;
  size_t max_expired = 100000;
};

class ReplicatedRequests : public ReplicatedState {
 public:
  explicit ReplicatedRequests(const RequestRetentionLimits& limits = {}) : limits_(limits) {}

  RecordVerdict Apply(const Record& record, Sequence sequence) override;
  nlohmann::json Snapshot() const override;
  void Restore(const nlohmann::json& state) override;

  std::optional<RequestState> Find(const std::string& workspace, const std::string& key) const;
  // Keys claimed at or before this time (milliseconds since 1970) may have been forgotten
  // completely. 0 while no key has been forgotten.
  int64_t forgotten_until_ms() const;

 private:
  RecordVerdict ApplyRecord(const RequestClaimed& claim, Sequence sequence);
  RecordVerdict ApplyRecord(const RequestEnded& ended);
  void EnforceLimits();
  struct ExpiredKey {
    uint64_t hash = 0;
    int64_t claimed_wall_ms = 0;
  };
  void Expire(const ExpiredKey& key);

  const RequestRetentionLimits limits_;
  mutable std::mutex mutex_;
  int64_t forgotten_wall_ms_ = 0;
  size_t body_bytes_ = 0;
  std::map<std::string, RequestState> requests_;
  // Keys of ended requests, oldest first: in `with_body_` the requests whose answer body is stored,
  // in `ended_order_` all ended requests.
  std::deque<std::string> with_body_;
  std::deque<std::string> ended_order_;
  // Hashes of the keys of dropped requests, and the same keys in the order in which they were
  // dropped.
  std::unordered_set<uint64_t> expired_;
  std::deque<ExpiredKey> expired_order_;
};

}  // namespace turmericshift
