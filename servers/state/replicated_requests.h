// Claims and outcomes of requests that may not be repeated, as a fold of the requests stream.
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

// What is known about one idempotency key.
struct RequestState {
  // The attempt that owns the key now.
  RequestClaimed claim;
  Sequence fence = kNoSequence;
  // Set once the outcome of the owning attempt was recorded.
  std::optional<RequestEnded> ended;
  // The owning attempt's writer has recorded that it never ran, so the next one may be claimed.
  bool never_ran = false;
  // The key was used, but what became of it is no longer kept: it must never run again.
  bool expired = false;
};

// How much a fold keeps; the same in every process, or their folds would differ. What falls out is
// remembered as expired for `max_expired` keys more.
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
  // Keys first used up to this time (milliseconds since 1970) may have been forgotten altogether; 0
  // while none was.
  int64_t forgotten_until_ms() const;

 private:
  RecordVerdict Take(const RequestClaimed& claim, Sequence sequence);
  RecordVerdict Take(const RequestEnded& ended);
  void Shrink();
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
  // Keys of ended requests, oldest first: those that still have a body, and all.
  std::deque<std::string> with_body_;
  std::deque<std::string> ended_order_;
  // Keys whose rows were dropped, by hash, and in the order of dropping.
  std::unordered_set<uint64_t> expired_;
  std::deque<ExpiredKey> expired_order_;
};

}  // namespace turmericshift
