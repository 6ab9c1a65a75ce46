#include "servers/pool/rejection_log.h"

#include <utility>

#include "core/logging.h"

namespace turmericshift::pool {
namespace {

constexpr Duration kLogInterval = std::chrono::seconds(1);

}  // namespace

void RejectionLog::Record(const admission::AdmissionRequest& request,
                          const admission::Refusal& refusal, const admission::PoolLoad& load,
                          int64_t epoch, Time now) {
  ++counts_[refusal.reason];
  ++unlogged_;
  if (logged_at_ && now - *logged_at_ < kLogInterval) return;
  logged_at_ = now;
  LogEvent(LogLevel::kWarning, "job_rejected_for_load",
           {{"job", request.id},
            {"reason", admission::RefusalReasonName(refusal.reason)},
            {"workspace", request.workspace},
            {"queue", request.queue},
            {"priority", request.priority},
            {"retry_after_s", Seconds(refusal.retry_after)},
            {"forecast_s", Seconds(refusal.forecast)},
            {"limit_s", Seconds(refusal.limit)},
            {"backlog_s", Seconds(load.backlog())},
            {"load_age_s", Seconds(now - load.at)},
            {"rejected", std::exchange(unlogged_, 0)},
            {"epoch", epoch}});
}

std::map<admission::RefusalReason, int64_t> RejectionLog::TakeCounts() {
  return std::exchange(counts_, {});
}

}  // namespace turmericshift::pool
