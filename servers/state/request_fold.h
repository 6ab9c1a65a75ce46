// Claims and outcomes of requests that may not be repeated, as a fold of the requests stream.
#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "servers/state/fold.h"

namespace turmericshift {

// What is known about one idempotency key.
struct RequestState {
  // The attempt that owns the key now.
  RequestClaimed claim;
  Sequence fence = kNoSequence;
  // Set once the outcome of the owning attempt was recorded.
  std::optional<RequestEnded> ended;
};

class RequestFold : public Fold {
 public:
  FoldVerdict Apply(const Record& record, Sequence sequence) override;
  nlohmann::json Snapshot() const override;
  void Restore(const nlohmann::json& state) override;

  std::optional<RequestState> Find(const std::string& workspace, const std::string& key) const;

 private:
  FoldVerdict Take(const RequestClaimed& claim, Sequence sequence);
  FoldVerdict Take(const RequestEnded& ended);

  mutable std::mutex mutex_;
  std::map<std::string, RequestState> requests_;
};

}  // namespace turmericshift
