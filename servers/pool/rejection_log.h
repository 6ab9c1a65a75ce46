// Counts submissions that were refused for load, and logs one of them a second with the number of
// all.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "core/clock.h"
#include "servers/admission/admission_policy.h"

namespace turmericshift::pool {

class RejectionLog {
 public:
  void Record(const admission::AdmissionRequest& request, const admission::Refusal& refusal,
              const admission::PoolLoad& load, int64_t epoch, Time now);
  // Number of refusals since the last call, by reason.
  std::map<admission::RefusalReason, int64_t> TakeCounts();

 private:
  std::optional<Time> logged_at_;
  int64_t unlogged_ = 0;
  std::map<admission::RefusalReason, int64_t> counts_;
};

}  // namespace turmericshift::pool
