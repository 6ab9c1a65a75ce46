#include "servers/pool/advice_asker.h"

#include "core/error.h"
#include "core/logging.h"

namespace turmericshift::pool {
namespace {

// How long a question is waited for before the thread looks whether it should end.
constexpr Duration kQuestionWait = std::chrono::milliseconds(500);
// Thirty workers take the service some hundred milliseconds; calls of other VMs go in between.
constexpr Duration kAnswerTimeout = std::chrono::milliseconds(2000);

}  // namespace

AdviceAsker::AdviceAsker(AdviceService* advice, PlannerService* planner)
    : advice_(advice), planner_(planner), thread_("advice", [this] { Run(); }) {}

AdviceAsker::~AdviceAsker() { stopping_.store(true); }

void AdviceAsker::Run() {
  while (!stopping_.load()) {
    const std::optional<AdviceQuestion> question = planner_->NextQuestion(kQuestionWait);
    if (!question) continue;
    const Time asked = LeaseClock().Now();
    try {
      const AdviceAnswer answer = advice_->Ask(*question, kAnswerTimeout);
      LogEvent(LogLevel::kInfo, "advice_given",
               {{"job", question->step.job},
                {"step", question->step.place.step},
                {"asked", question->workers.size()},
                {"good", answer.good.size()},
                {"valid_s", Seconds(answer.valid)},
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
