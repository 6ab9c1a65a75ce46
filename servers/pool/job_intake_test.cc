#include "servers/pool/job_intake.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <random>

#include "core/error.h"

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;

constexpr Duration kStuckAfter = milliseconds(700);
constexpr Duration kStep = milliseconds(50);
constexpr Duration kBeat = milliseconds(250);
const Time kBegin = Time(std::chrono::hours(1));

// A planner with its intake and a store of a few lines, in passed-in time.
class IntakeBed {
 public:
  IntakeBed() { NewPlanner(); }

  // What each try of a job was told, in the order of the answers.
  std::vector<Outcome> submitted(const std::string& id) const { return At(submitted_, id); }
  std::vector<Outcome> cancelled(const std::string& id) const { return At(cancelled_, id); }
  // What the store has of a job.
  const StoredJob* Find(const std::string& id) const { return book_.Find(id); }
  // False once a job was called accepted that the store does not have.
  bool truthful() const { return truthful_; }

  void Submit(const std::string& id) {
    JobSpec spec;
    spec.id = id;
    spec.steps.emplace_back();
    Replies replies;
    const auto done = [this, id](const Attempt<Done>& attempt) {
      submitted_[id].push_back(OutcomeOf(attempt));
      if (!attempt.error && Find(id) == nullptr) truthful_ = false;
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
  void ReplacePlanner(bool append_lands) {
    if (append_lands) Land();
    Replies replies;
    intake_.End(&replies);
    RunAll(replies);
    NewPlanner();
  }

  void RunFor(Duration time) {
    for (const Time end = now_ + time; now_ < end;) Step();
  }

 private:
  using Told = std::map<std::string, std::vector<Outcome>>;

  static std::vector<Outcome> At(const Told& told, const std::string& id) {
    const auto found = told.find(id);
    return found == told.end() ? std::vector<Outcome>() : found->second;
  }
  static Outcome OutcomeOf(const Attempt<Done>& attempt) {
    return attempt.error ? attempt.error->outcome() : Outcome::kRan;
  }

  void NewPlanner() {
    planner_ = std::make_unique<PoolPlanner>(PlannerOptions(), ++epoch_, book_,
                                             std::set<std::string>(), now_);
    planner_->ConfirmLeadership(now_);
    on_way_.clear();
    sent_.reset();
  }

  // The store carries the append out, once.
  void Land() {
    for (KeyedRecord& record : on_way_) {
      record.offset = offset_++;
      book_.Apply(record);
    }
    on_way_.clear();
  }

  void Step() {
    now_ += kStep;
    if (!sent_ && (!planner_->outbox().empty() || now_ - last_write_ >= kBeat)) {
      on_way_ = planner_->outbox().Take();
      sent_ = now_;
    }
    if (sent_ && store_up_) Land();
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

  JobIntake intake_{kStuckAfter};
  std::unique_ptr<PoolPlanner> planner_;
  JobTable book_;
  Offset offset_ = 0;
  int64_t epoch_ = 0;
  Time now_ = kBegin;
  Time last_write_{};
  std::vector<KeyedRecord> on_way_;
  std::optional<Time> sent_;
  bool store_up_ = true;
  bool answers_lost_ = false;
  Told submitted_;
  Told cancelled_;
  bool truthful_ = true;
};

using Outcomes = std::vector<Outcome>;

// An append is on its way and unanswered, so that what comes next stays in the outbox.
void LoseStore(IntakeBed* bed) {
  bed->SetStore(false, false);
  bed->RunFor(kBeat + kStep);
}

// The second try of a withdrawn job must not be told that it is accepted when a later append is
// kept.
TEST(JobIntake, WithdrawsAJobForEachOfItsCallers) {
  IntakeBed bed;
  LoseStore(&bed);
  bed.Submit("j");
  bed.RunFor(milliseconds(300));
  bed.Submit("j");
  bed.RunFor(kStuckAfter);
  EXPECT_EQ(bed.submitted("j"), (Outcomes{Outcome::kNotRun, Outcome::kNotRun}));
  bed.SetStore(true, false);
  bed.RunFor(kStuckAfter);
  EXPECT_EQ(bed.Find("j"), nullptr);
}

// A try that joins in the moment of the withdrawal must not wait for a record that is gone.
TEST(JobIntake, LeavesNoCallerOfAWithdrawnJobWaiting) {
  IntakeBed bed;
  LoseStore(&bed);
  bed.Submit("j");
  bed.RunFor(kStuckAfter - kStep);
  bed.Submit("j");
  bed.Submit("other");
  bed.RunFor(2 * kStep);
  EXPECT_EQ(bed.submitted("j"), (Outcomes{Outcome::kNotRun, Outcome::kNotRun}));
}

// The store is back before anybody has waited too long: both tries are accepted.
TEST(JobIntake, AcceptsEachTryOfAJobThatIsKept) {
  IntakeBed bed;
  LoseStore(&bed);
  bed.Submit("j");
  bed.Submit("j");
  bed.SetStore(true, false);
  bed.RunFor(2 * kStep);
  EXPECT_EQ(bed.submitted("j"), (Outcomes{Outcome::kRan, Outcome::kRan}));
}

// A record that has left may be kept at any time, so that nobody is told "not run".
TEST(JobIntake, LetsCallersWaitForARecordThatHasLeft) {
  IntakeBed bed;
  bed.SetStore(true, true);
  bed.Submit("j");
  bed.RunFor(kStep);
  bed.Submit("j");
  bed.RunFor(4 * kStuckAfter);
  EXPECT_EQ(bed.submitted("j"), Outcomes());
  bed.SetStore(true, false);
  bed.RunFor(2 * kStep);
  EXPECT_EQ(bed.submitted("j"), (Outcomes{Outcome::kRan, Outcome::kRan}));
}

// A job that is stored must be called accepted at once, also while the store is away and a later
// record of the job waits for it.
TEST(JobIntake, AcceptsARepeatOfAStoredJobWhileTheStoreIsAway) {
  IntakeBed bed;
  bed.Submit("j");
  bed.RunFor(2 * kStep);
  LoseStore(&bed);
  bed.Cancel("j");
  bed.Submit("j");
  bed.RunFor(kStep);
  EXPECT_EQ(bed.submitted("j"), (Outcomes{Outcome::kRan, Outcome::kRan}));
  EXPECT_EQ(bed.cancelled("j"), Outcomes());
}

// A third try after the withdrawal is refused at once while the store is away, and taken in anew
// once it is back.
TEST(JobIntake, TakesAWithdrawnJobInAnew) {
  IntakeBed bed;
  LoseStore(&bed);
  bed.Submit("j");
  bed.Submit("j");
  bed.RunFor(2 * kStuckAfter);
  bed.Submit("j");
  EXPECT_EQ(bed.submitted("j"), (Outcomes{Outcome::kNotRun, Outcome::kNotRun, Outcome::kNotRun}));
  bed.SetStore(true, false);
  bed.RunFor(2 * kStep);
  bed.Submit("j");
  bed.RunFor(2 * kStep);
  EXPECT_EQ(bed.submitted("j").back(), Outcome::kRan);
}

// The duty ends while two tries wait: neither may take a later planner's record for its own.
TEST(JobIntake, TellsEachTryNothingSureWhenTheDutyEnds) {
  IntakeBed bed;
  LoseStore(&bed);
  bed.Submit("j");
  bed.Submit("j");
  bed.ReplacePlanner(false);
  bed.SetStore(true, false);
  bed.RunFor(kStuckAfter);
  EXPECT_EQ(bed.submitted("j"), (Outcomes{Outcome::kUnknown, Outcome::kUnknown}));
}

// A cancellation that was acknowledged must hold for later tries of the job, although its first try
// was never accepted.
TEST(JobIntake, KeepsACancellationOfAJobThatIsNotStoredYet) {
  IntakeBed bed;
  LoseStore(&bed);
  bed.Submit("j");
  bed.Cancel("j");
  bed.RunFor(2 * kStuckAfter);
  bed.SetStore(true, false);
  bed.RunFor(2 * kStep);
  bed.Submit("j");
  bed.RunFor(2 * kStep);
  EXPECT_EQ(bed.cancelled("j"), Outcomes{Outcome::kRan});
  ASSERT_NE(bed.Find("j"), nullptr);
  EXPECT_EQ(bed.Find("j")->progress.state, JobState::kCancelled);
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
        return bed_.SetStore(false, false);
      case 1:
        return bed_.SetStore(true, true);
      case 2:
      case 3:
        return bed_.SetStore(true, false);
      case 4:
        if (Below(4) == 0) bed_.ReplacePlanner(Below(2) == 0);
        return;
      case 5:
        return bed_.Cancel(AnyJob());
      default:
        return bed_.Submit(AnyJob());
    }
  }

  void Play() {
    for (int step = 0; step < kSteps; ++step) {
      Act();
      bed_.RunFor(milliseconds(Below(400)));
    }
    bed_.SetStore(true, false);
    bed_.RunFor(2 * kStuckAfter);
  }

  static constexpr int kJobs = 12;
  static constexpr int kSteps = 60;
  std::mt19937 random_{GetParam()};
  IntakeBed bed_;
};

// No accepted job is ever missing from the store, none that was refused each time is in it, and
// none runs whose cancellation was acknowledged.
TEST_P(IntakeHistory, TellsTheTruth) {
  Play();
  EXPECT_TRUE(bed_.truthful()) << "seed " << GetParam();
  for (int number = 0; number < kJobs; ++number) {
    const std::string id = "j" + std::to_string(number);
    const Outcomes told = bed_.submitted(id);
    const bool refused = std::all_of(told.begin(), told.end(),
                                     [](Outcome outcome) { return outcome == Outcome::kNotRun; });
    EXPECT_FALSE(refused && bed_.Find(id) != nullptr) << id << ", seed " << GetParam();
    const Outcomes cancelled = bed_.cancelled(id);
    if (std::count(cancelled.begin(), cancelled.end(), Outcome::kRan) == 0) continue;
    ASSERT_NE(bed_.Find(id), nullptr) << id << ", seed " << GetParam();
    EXPECT_TRUE(IsOver(bed_.Find(id)->progress.state)) << id << ", seed " << GetParam();
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, IntakeHistory, testing::Range(1U, 201U));

}  // namespace
}  // namespace turmericshift::pool
