#include "servers/pool/job_intake.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <random>

#include "core/error.h"

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;

constexpr Duration kStallTimeout = milliseconds(700);
constexpr Duration kStep = milliseconds(50);
constexpr Duration kHeartbeat = milliseconds(250);
const Time kBegin = Time(std::chrono::hours(1));

// A planner with its intake and a simulated store, driven by a simulated clock.
class IntakeFixture {
 public:
  IntakeFixture() { NewPlanner(); }

  // Outcomes of the submissions of a job, in the order of the answers.
  std::vector<Outcome> submitted(const std::string& id) const { return At(submitted_, id); }
  std::vector<Outcome> cancelled(const std::string& id) const { return At(cancelled_, id); }
  // The stored job; null if there is none.
  const StoredJob* Find(const std::string& id) const { return table_.Find(id); }
  // Whether every job that was reported as accepted is stored.
  bool answers_consistent() const { return answers_consistent_; }

  void Submit(const std::string& id) {
    JobSpec spec;
    spec.id = id;
    spec.steps.emplace_back();
    Replies replies;
    const auto done = [this, id](const Result<Done>& result) {
      submitted_[id].push_back(OutcomeOf(result));
      if (!result.error && Find(id) == nullptr) answers_consistent_ = false;
    };
    intake_.Submit(spec, sent_, planner_.get(), done, now_, &replies);
    RunAll(replies);
  }

  void Cancel(const std::string& id) {
    Replies replies;
    const auto done = [this, id](const Result<Done>& result) {
      cancelled_[id].push_back(OutcomeOf(result));
    };
    intake_.Cancel(id, 1, planner_.get(), done, now_, &replies);
    RunAll(replies);
  }

  void SetStore(bool up, bool answers_lost) {
    store_up_ = up;
    answers_lost_ = answers_lost;
  }

  // Another planner becomes active with the stored state. The append in flight is either applied
  // before the new planner's claim or refused.
  void ReplacePlanner(bool append_applied) {
    if (append_applied) ApplyAppend();
    Replies replies;
    intake_.End(&replies);
    RunAll(replies);
    NewPlanner();
  }

  void RunFor(Duration time) {
    for (const Time end = now_ + time; now_ < end;) Step();
  }

 private:
  using OutcomesById = std::map<std::string, std::vector<Outcome>>;

  static std::vector<Outcome> At(const OutcomesById& answers, const std::string& id) {
    const auto found = answers.find(id);
    return found == answers.end() ? std::vector<Outcome>() : found->second;
  }
  static Outcome OutcomeOf(const Result<Done>& result) {
    return result.error ? result.error->outcome() : Outcome::kRan;
  }

  void NewPlanner() {
    planner_ = std::make_unique<PoolPlanner>(PlannerOptions(), ++epoch_, table_,
                                             std::set<std::string>(), now_);
    planner_->ConfirmLeadership(now_);
    in_flight_.clear();
    sent_.reset();
  }

  // Applies the records of the append in flight to the stored state. A repeated call applies
  // nothing.
  void ApplyAppend() {
    for (KeyedRecord& record : in_flight_) {
      record.offset = offset_++;
      table_.Apply(record);
    }
    in_flight_.clear();
  }

  void Step() {
    now_ += kStep;
    if (!sent_ && (!planner_->outbox().empty() || now_ - last_write_ >= kHeartbeat)) {
      in_flight_ = planner_->outbox().Take();
      sent_ = now_;
    }
    if (sent_ && store_up_) ApplyAppend();
    if (sent_ && store_up_ && !answers_lost_) {
      planner_->outbox().MarkDurable();
      planner_->ConfirmLeadership(now_);
      last_write_ = *sent_;
      sent_.reset();
    }
    planner_->NoteDurable();
    planner_->Plan(1, now_);
    Replies replies;
    intake_.Answer(sent_, planner_.get(), now_, &replies);
    RunAll(replies);
  }

  JobIntake intake_{kStallTimeout};
  std::unique_ptr<PoolPlanner> planner_;
  JobTable table_;
  Offset offset_ = 0;
  int64_t epoch_ = 0;
  Time now_ = kBegin;
  Time last_write_{};
  std::vector<KeyedRecord> in_flight_;
  std::optional<Time> sent_;
  bool store_up_ = true;
  bool answers_lost_ = false;
  OutcomesById submitted_;
  OutcomesById cancelled_;
  bool answers_consistent_ = true;
};

using Outcomes = std::vector<Outcome>;

// Leaves an unanswered append in flight, so that later records stay in the outbox.
void LoseStore(IntakeFixture* fixture) {
  fixture->SetStore(false, false);
  fixture->RunFor(kHeartbeat + kStep);
}

// Guards against telling the second submission of a withdrawn job that it was accepted once a later
// append is durable.
TEST(JobIntake, WithdrawsAJobForAllItsCallers) {
  IntakeFixture fixture;
  LoseStore(&fixture);
  fixture.Submit("j");
  fixture.RunFor(milliseconds(300));
  fixture.Submit("j");
  fixture.RunFor(kStallTimeout);
  EXPECT_EQ(fixture.submitted("j"), (Outcomes{Outcome::kNotRun, Outcome::kNotRun}));
  fixture.SetStore(true, false);
  fixture.RunFor(kStallTimeout);
  EXPECT_EQ(fixture.Find("j"), nullptr);
}

// Guards against a submission that joins just before the withdrawal and then waits for a record
// that no longer exists.
TEST(JobIntake, AnswersEveryCallerOfAWithdrawnJob) {
  IntakeFixture fixture;
  LoseStore(&fixture);
  fixture.Submit("j");
  fixture.RunFor(kStallTimeout - kStep);
  fixture.Submit("j");
  fixture.Submit("other");
  fixture.RunFor(2 * kStep);
  EXPECT_EQ(fixture.submitted("j"), (Outcomes{Outcome::kNotRun, Outcome::kNotRun}));
}

// The store recovers before the stall timeout: both submissions are accepted.
TEST(JobIntake, AcceptsEverySubmissionOfADurableJob) {
  IntakeFixture fixture;
  LoseStore(&fixture);
  fixture.Submit("j");
  fixture.Submit("j");
  fixture.SetStore(true, false);
  fixture.RunFor(2 * kStep);
  EXPECT_EQ(fixture.submitted("j"), (Outcomes{Outcome::kRan, Outcome::kRan}));
}

// A record that has been sent may become durable at any time, so no caller may be told "not run".
TEST(JobIntake, KeepsCallersWaitingForARecordInFlight) {
  IntakeFixture fixture;
  fixture.SetStore(true, true);
  fixture.Submit("j");
  fixture.RunFor(kStep);
  fixture.Submit("j");
  fixture.RunFor(4 * kStallTimeout);
  EXPECT_EQ(fixture.submitted("j"), Outcomes());
  fixture.SetStore(true, false);
  fixture.RunFor(2 * kStep);
  EXPECT_EQ(fixture.submitted("j"), (Outcomes{Outcome::kRan, Outcome::kRan}));
}

// A stored job must be reported as accepted immediately, also while the store is unresponsive and a
// later record of the job is pending.
TEST(JobIntake, AcceptsARepeatOfAStoredJobWhileTheStoreIsUnresponsive) {
  IntakeFixture fixture;
  fixture.Submit("j");
  fixture.RunFor(2 * kStep);
  LoseStore(&fixture);
  fixture.Cancel("j");
  fixture.Submit("j");
  fixture.RunFor(kStep);
  EXPECT_EQ(fixture.submitted("j"), (Outcomes{Outcome::kRan, Outcome::kRan}));
  EXPECT_EQ(fixture.cancelled("j"), Outcomes());
}

// Two submissions of a job are withdrawn because the store is unresponsive for longer than the
// stall time-out. A third submission must then be refused immediately, and a fourth must be
// accepted once the store has recovered.
TEST(JobIntake, AcceptsAWithdrawnJobAgain) {
  IntakeFixture fixture;
  LoseStore(&fixture);
  fixture.Submit("j");
  fixture.Submit("j");
  fixture.RunFor(2 * kStallTimeout);
  fixture.Submit("j");
  EXPECT_EQ(fixture.submitted("j"),
            (Outcomes{Outcome::kNotRun, Outcome::kNotRun, Outcome::kNotRun}));
  fixture.SetStore(true, false);
  fixture.RunFor(2 * kStep);
  fixture.Submit("j");
  fixture.RunFor(2 * kStep);
  EXPECT_EQ(fixture.submitted("j").back(), Outcome::kRan);
}

// The planner steps down while two submissions wait: neither may be answered from a record of the
// next planner.
TEST(JobIntake, ReportsUnknownToAllCallersWhenThePlannerStepsDown) {
  IntakeFixture fixture;
  LoseStore(&fixture);
  fixture.Submit("j");
  fixture.Submit("j");
  fixture.ReplacePlanner(false);
  fixture.SetStore(true, false);
  fixture.RunFor(kStallTimeout);
  EXPECT_EQ(fixture.submitted("j"), (Outcomes{Outcome::kUnknown, Outcome::kUnknown}));
}

// An acknowledged cancellation must apply to later submissions of the job, although the first
// submission was never accepted.
TEST(JobIntake, AppliesACancellationOfAJobThatIsNotStoredYet) {
  IntakeFixture fixture;
  LoseStore(&fixture);
  fixture.Submit("j");
  fixture.Cancel("j");
  fixture.RunFor(2 * kStallTimeout);
  fixture.SetStore(true, false);
  fixture.RunFor(2 * kStep);
  fixture.Submit("j");
  fixture.RunFor(2 * kStep);
  EXPECT_EQ(fixture.cancelled("j"), Outcomes{Outcome::kRan});
  ASSERT_NE(fixture.Find("j"), nullptr);
  EXPECT_EQ(fixture.Find("j")->progress.state, JobState::kCancelled);
}

// Random sequences of submissions, cancellations, store failures and planner changes.
class IntakeHistory : public testing::TestWithParam<unsigned> {
 protected:
  int Below(int limit) { return static_cast<int>(random_() % static_cast<unsigned>(limit)); }
  std::string AnyJob() { return "j" + std::to_string(Below(kJobs)); }

  void Act() {
    switch (Below(10)) {
      case 0:
        return fixture_.SetStore(false, false);
      case 1:
        return fixture_.SetStore(true, true);
      case 2:
      case 3:
        return fixture_.SetStore(true, false);
      case 4:
        if (Below(4) == 0) fixture_.ReplacePlanner(Below(2) == 0);
        return;
      case 5:
        return fixture_.Cancel(AnyJob());
      default:
        return fixture_.Submit(AnyJob());
    }
  }

  void RunHistory() {
    for (int step = 0; step < kSteps; ++step) {
      Act();
      fixture_.RunFor(milliseconds(Below(400)));
    }
    fixture_.SetStore(true, false);
    fixture_.RunFor(2 * kStallTimeout);
  }

  static constexpr int kJobs = 12;
  static constexpr int kSteps = 60;
  std::mt19937 random_{GetParam()};
  IntakeFixture fixture_;
};

// An accepted job is always stored, a job whose submissions were all refused is not, and no job
// runs after its cancellation was acknowledged.
TEST_P(IntakeHistory, AnswersMatchTheStoredState) {
  RunHistory();
  EXPECT_TRUE(fixture_.answers_consistent()) << "seed " << GetParam();
  for (int number = 0; number < kJobs; ++number) {
    const std::string id = "j" + std::to_string(number);
    const Outcomes answers = fixture_.submitted(id);
    const bool refused = std::all_of(answers.begin(), answers.end(),
                                     [](Outcome outcome) { return outcome == Outcome::kNotRun; });
    EXPECT_FALSE(refused && fixture_.Find(id) != nullptr) << id << ", seed " << GetParam();
    const Outcomes cancelled = fixture_.cancelled(id);
    if (std::count(cancelled.begin(), cancelled.end(), Outcome::kRan) == 0) continue;
    ASSERT_NE(fixture_.Find(id), nullptr) << id << ", seed " << GetParam();
    EXPECT_TRUE(IsOver(fixture_.Find(id)->progress.state)) << id << ", seed " << GetParam();
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, IntakeHistory, testing::Range(1U, 201U));

// A planner of one worker with 8 accelerators, which a job occupies for a minute.
std::unique_ptr<PoolPlanner> FullPlanner(Time now) {
  auto planner = std::make_unique<PoolPlanner>(
      PlannerOptions(), 1, JobTable(), std::set<std::string>(), now - std::chrono::seconds(10));
  auto operators = std::make_shared<OperatorState>();
  operators->config.queues.push_back({"q", "host", "/", {"plans", 0, 1, 1.5, {}}});
  planner->SetOperatorState(operators, now);
  planner->ConfirmLeadership(now);
  AgentReport report;
  report.node = "n";
  report.zone = "a";
  report.incarnation = "1";
  report.sequence = 1;
  report.epoch = 1;
  report.worker.id = "w";
  report.worker.service = "plans";
  report.worker.capacity = {64'000, 65'536, 8};
  report.worker.reachable = true;
  planner->ApplyReport(report, 1, now);
  return planner;
}

JobSpec JobOfTwoSeconds(const std::string& id, int tasks) {
  JobSpec spec;
  spec.id = id;
  spec.queue = "q";
  StepSpec step;
  step.tasks = tasks;
  step.need = {1000, 1000, 1};
  step.estimate = std::chrono::seconds(2);
  spec.steps.push_back(step);
  return spec;
}

// A repeated submission of an accepted job would be refused because the pool has become full since,
// and its caller would believe that the job never runs.
TEST(JobIntake, AsksOnlyForNewJobsWhetherThePoolIsOverloaded) {
  const std::unique_ptr<PoolPlanner> planner = FullPlanner(kBegin);
  JobIntake intake(kStallTimeout);
  Replies replies;
  std::map<std::string, std::vector<Result<Done>>> answers;
  const auto submit = [&](const JobSpec& spec) {
    intake.Submit(
        spec, std::nullopt, planner.get(),
        [&answers, id = spec.id](Result<Done> result) { answers[id].push_back(std::move(result)); },
        kBegin, &replies);
  };
  planner->Plan(1, kBegin);
  submit(JobOfTwoSeconds("first", 400));
  submit(JobOfTwoSeconds("second", 8));
  submit(JobOfTwoSeconds("first", 400));
  planner->outbox().Take();
  planner->outbox().MarkDurable();
  intake.Answer(std::nullopt, planner.get(), kBegin, &replies);
  RunAll(replies);
  ASSERT_EQ(answers["first"].size(), 2U);
  EXPECT_FALSE(answers["first"][0].error);
  EXPECT_FALSE(answers["first"][1].error);
  ASSERT_EQ(answers["second"].size(), 1U);
  ASSERT_TRUE(answers["second"][0].error);
  EXPECT_EQ(answers["second"][0].error->kind(), ErrorKind::kOverloaded);
  EXPECT_EQ(answers["second"][0].error->outcome(), Outcome::kNotRun);
  // When the work ahead is done.
  EXPECT_EQ(answers["second"][0].error->retry_after(), std::chrono::seconds(100));
  EXPECT_FALSE(planner->HasJob("second"));
  const auto counts = planner->TakeRejections();
  EXPECT_EQ(counts.at(admission::RefusalReason::kWorkspaceOverloaded), 1);
  EXPECT_TRUE(planner->TakeRejections().empty());
}

// A planner that has been replaced without knowing it lacks what its successor has accepted. Its
// refusal would tell the caller of an accepted job that it never runs.
TEST(JobIntake, RefusesForLoadOnlyWithAProofOfLeadership) {
  const std::unique_ptr<PoolPlanner> planner = FullPlanner(kBegin);
  JobIntake intake(kStallTimeout);
  Replies replies;
  std::vector<Result<Done>> answers;
  const auto submit = [&](const JobSpec& spec) {
    intake.Submit(
        spec, std::nullopt, planner.get(),
        [&answers](Result<Done> result) { answers.push_back(std::move(result)); }, kBegin,
        &replies);
  };
  planner->Plan(1, kBegin);
  submit(JobOfTwoSeconds("first", 400));
  submit(JobOfTwoSeconds("second", 8));
  intake.Answer(std::nullopt, planner.get(), kBegin, &replies);
  RunAll(replies);
  EXPECT_TRUE(answers.empty());
  replies.clear();
  intake.End(&replies);
  RunAll(replies);
  ASSERT_EQ(answers.size(), 2U);
  for (const Result<Done>& answer : answers) {
    ASSERT_TRUE(answer.error);
    EXPECT_EQ(answer.error->outcome(), Outcome::kUnknown);
  }
}

}  // namespace
}  // namespace turmericshift::pool
