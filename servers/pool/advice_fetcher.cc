#include "servers/pool/advice_fetcher.h"

#include "core/error.h"
#include "core/logging.h"

namespace turmericshift::pool {
namespace {

// How long a question is waited for before the thread looks whether it should end.
constexpr Duration kQuestionWait = std::chrono::milliseconds(500);
// Thirty workers take the service some hundred milliseconds; calls of other VMs go in between.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(2000);

}  // namespace

AdviceFetcher::AdviceFetcher(AdviceService* advice, PlannerService* planner)
    : advice_(advice), planner_(planner), thread_("advice", [this] { Run(); }) {}

AdviceFetcher::~AdviceFetcher() { stopping_.store(true); }

void AdviceFetcher::Run() {
  while (!stopping_.load()) {
    const std::optional<AdviceRequest> question = planner_->NextQuestion(kQuestionWait);
    if (!question) continue;
    const Time asked = LeaseClock().Now();
    try {
      const AdviceResponse answer = advice_->Ask(*question, kAnswerTimeout);
      LogEvent(LogLevel::kInfo, "advice_given",
               {{"job", question->step.job},
                {"step", question->step.place.step},
                {"asked", question->workers.size()},
                {"good", answer.allowed.size()},
                {"valid_s", Seconds(answer.valid_for)},
                {"seconds", Seconds(LeaseClock().Now() - asked)}});
      planner_->HandleAdvice(*question, answer, asked);
    } catch (const Error& error) {
      LogEvent(LogLevel::kWarning, "advice_missing",
               {{"job", question->step.job}, {"error", error.what()}});
      planner_->AdviceFailed(LeaseClock().Now());
    }
  }
}

}  // namespace turmericshift::pool
