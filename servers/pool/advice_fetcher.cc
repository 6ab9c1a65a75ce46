#include "servers/pool/advice_fetcher.h"

#include "core/error.h"
#include "core/logging.h"

namespace turmericshift::pool {
namespace {

// Longest wait for a request before the thread checks whether to stop.
constexpr Duration kStopCheckInterval = std::chrono::milliseconds(500);

}  // namespace

AdviceFetcher::AdviceFetcher(AdviceService* advice, PlannerService* planner)
    : advice_(advice),
      planner_(planner),
      thread_(ThreadRole::kEssential, "advice", [this] { Run(); }) {}

AdviceFetcher::~AdviceFetcher() { stopping_.store(true); }

void AdviceFetcher::Run() {
  while (!stopping_.load()) {
    const std::optional<AdviceRequest> request = planner_->NextAdviceRequest(kStopCheckInterval);
    if (!request) continue;
    const Time asked_at = LeaseClock().Now();
    try {
      const AdviceResponse response = advice_->Ask(*request, request->timeout);
      LogEvent(LogLevel::kInfo, "advice_given",
               {{"job", request->step.job},
                {"step", request->step.place.step},
                {"asked", request->workers.size()},
                {"good", response.allowed.size()},
                {"valid_s", Seconds(response.valid_for)},
                {"seconds", Seconds(LeaseClock().Now() - asked_at)}});
      planner_->HandleAdvice(*request, response, asked_at);
    } catch (const Error& error) {
      LogEvent(LogLevel::kWarning, "advice_missing",
               {{"job", request->step.job},
                {"asked", request->workers.size()},
                {"timeout_s", Seconds(request->timeout)},
                {"error", error.what()}});
      planner_->AdviceFailed(error.outcome() == Outcome::kUnknown, LeaseClock().Now());
    }
  }
}

}  // namespace turmericshift::pool
