// Claims and outcomes of requests that may not be repeated, as a fold of the requests stream.
#pragma once

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_set>

#include "servers/state/stream_client.h"

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
  // The key was used, but its history is not whole here: it must never run again.
  bool expired = false;
};

// How much a fold keeps. What falls out is remembered as expired for `max_expired` keys more.
struct RequestFoldLimits {
  size_t max_ended = 20000;
  size_t max_body_bytes = size_t{8} << 20;
  size_t max_expired = 100000;
};

class RequestFold : public Fold {
 public:
  explicit RequestFold(const RequestFoldLimits& limits = {}) : limits_(limits) {}

  FoldVerdict Apply(const Record& record, Sequence sequence) override;

  std::optional<RequestState> Find(const std::string& workspace, const std::string& key) const;
  // Keys first used before this time (milliseconds since 1970) may be missing here; 0 while the
  // stream has been read from its very first record.
  int64_t keeps_since_ms() const;

 private:
  FoldVerdict Take(const RequestClaimed& claim, Sequence sequence);
  FoldVerdict Take(const RequestEnded& ended);
  void NoteStart(const Record& record, Sequence sequence);
  // The stream was trimmed and `claim` is so close to its start that an earlier claim of the same
  // key may be among what was trimmed.
  bool NearTrimmedStart(const RequestClaimed& claim) const;
  void Shrink();
  void Expire(const std::string& full_key);

  const RequestFoldLimits limits_;
  mutable std::mutex mutex_;
  bool begun_ = false;
  bool trimmed_ = false;
  int64_t first_wall_ms_ = 0;
  size_t body_bytes_ = 0;
  std::map<std::string, RequestState> requests_;
  // Keys of ended requests, oldest first: those that still have a body, and all.
  std::deque<std::string> with_body_;
  std::deque<std::string> ended_order_;
  // Hashes of keys whose rows were dropped.
  std::unordered_set<size_t> expired_;
  std::deque<size_t> expired_order_;
};

}  // namespace turmericshift
