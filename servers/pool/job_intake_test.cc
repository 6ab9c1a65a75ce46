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

// A planner with its intake and a store of a few lines, in passed-in time.
class IntakeFixture {
 public:
  IntakeFixture() { NewPlanner(); }

  // What each try of a job was told, in the order of the answers.
  std::vector<Outcome> submitted(const std::string& id) const { return At(submitted_, id); }
  std::vector<Outcome> cancelled(const std::string& id) const { return At(cancelled_, id); }
  // What the store has of a job.
  const StoredJob* Find(const std::string& id) const { return table_.Find(id); }
  // False once a job was called accepted that the store does not have.
  bool answers_consistent() const { return answers_consistent_; }

  void Submit(const std::string& id) {
    JobSpec spec;
    spec.id = id;
    spec.steps.emplace_back();
    Replies replies;
    const auto done = [this, id](const Attempt<Done>& attempt) {
      submitted_[id].push_back(OutcomeOf(attempt));
      if (!attempt.error && Find(id) == nullptr) answers_consistent_ = false;
    };
    intake_.Submit(spec, sent_, planner_.get(), done, now_, &replies);
    RunAll(replies);
  }

  void Cancel(const std::string& id) {
    Replies replies;
    const auto done = [this, id](const Attempt<Done>& attempt) {
      cancelled_[id].push_back(OutcomeOf(attempt));
    };
    intake_.Cancel(id, 1, planner_.get(), done, now_, &replies);
    RunAll(replies);
  }

  void SetStore(bool up, bool answers_lost) {
    store_up_ = up;
    answers_lost_ = answers_lost;
  }

  // The duty ends and another planner begins with what the store has. The append that is on its way
  // may come before the claim of the new one, or is refused.
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
  static Outcome OutcomeOf(const Attempt<Done>& attempt) {
    return attempt.error ? attempt.error->outcome() : Outcome::kRan;
  }

  void NewPlanner() {
    planner_ = std::make_unique<PoolPlanner>(PlannerOptions(), ++epoch_, table_,
                                             std::set<std::string>(), now_);
    planner_->Confirm(now_);
    in_flight_.clear();
    sent_.reset();
  }

  // The store carries the append out, once.
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
      planner_->Confirm(now_);
      last_write_ = *sent_;
      sent_.reset();
    }
    planner_->NoteKept();
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

// An append is on its way and unanswered, so that what comes next stays in the outbox.
void LoseStore(IntakeFixture* fixture) {
  fixture->SetStore(false, false);
  fixture->RunFor(kHeartbeat + kStep);
}

// The second try of a withdrawn job must not be told that it is accepted when a later append is
// kept.
TEST(JobIntake, WithdrawsAJobForEachOfItsCallers) {
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

// A try that joins in the moment of the withdrawal must not wait for a record that is gone.
TEST(JobIntake, LeavesNoCallerOfAWithdrawnJobWaiting) {
  IntakeFixture fixture;
  LoseStore(&fixture);
  fixture.Submit("j");
  fixture.RunFor(kStallTimeout - kStep);
  fixture.Submit("j");
  fixture.Submit("other");
  fixture.RunFor(2 * kStep);
  EXPECT_EQ(fixture.submitted("j"), (Outcomes{Outcome::kNotRun, Outcome::kNotRun}));
}

// The store is back before anybody has waited too long: both tries are accepted.
TEST(JobIntake, AcceptsEachTryOfAJobThatIsKept) {
  IntakeFixture fixture;
  LoseStore(&fixture);
  fixture.Submit("j");
  fixture.Submit("j");
  fixture.SetStore(true, false);
  fixture.RunFor(2 * kStep);
  EXPECT_EQ(fixture.submitted("j"), (Outcomes{Outcome::kRan, Outcome::kRan}));
}

// A record that has left may be kept at any time, so that nobody is told "not run".
TEST(JobIntake, LetsCallersWaitForARecordThatHasLeft) {
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

// A job that is stored must be called accepted at once, also while the store is away and a later
// record of the job waits for it.
TEST(JobIntake, AcceptsARepeatOfAStoredJobWhileTheStoreIsAway) {
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

// A third try after the withdrawal is refused at once while the store is away, and taken in anew
// once it is back.
TEST(JobIntake, TakesAWithdrawnJobInAnew) {
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

// The duty ends while two tries wait: neither may take a later planner's record for its own.
TEST(JobIntake, TellsEachTryNothingSureWhenTheDutyEnds) {
  IntakeFixture fixture;
  LoseStore(&fixture);
  fixture.Submit("j");
  fixture.Submit("j");
  fixture.ReplacePlanner(false);
  fixture.SetStore(true, false);
  fixture.RunFor(kStallTimeout);
  EXPECT_EQ(fixture.submitted("j"), (Outcomes{Outcome::kUnknown, Outcome::kUnknown}));
}

// A cancellation that was acknowledged must hold for later tries of the job, although its first try
// was never accepted.
TEST(JobIntake, KeepsACancellationOfAJobThatIsNotStoredYet) {
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

// Random histories of callers who repeat and cancel, a store that comes and goes, and planners that
// are replaced.
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

// No accepted job is ever missing from the store, none that was refused each time is in it, and
// none runs whose cancellation was acknowledged.
TEST_P(IntakeHistory, TellsTheTruth) {
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

}  // namespace
}  // namespace turmericshift::pool
