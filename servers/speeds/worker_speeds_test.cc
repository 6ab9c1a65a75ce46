#include "servers/speeds/worker_speeds.h"

#include <gtest/gtest.h>

#include <cmath>

#include "core/error.h"

namespace turmericshift::speeds {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart = Time(std::chrono::hours(1));
constexpr size_t kManyBytes = 48 * 1024;
constexpr size_t kReservedRuns = 100;

// Factor of worker `index`: thirds of a pool are fast, typical and slow.
double FactorOf(int index) {
  constexpr double kFactors[] = {0.6, 1.0, 1.6};
  return kFactors[index % 3];
}

std::string NameOf(int index) { return "worker-" + std::to_string(index); }

// Two runs of one step on each worker, observed for `time` with a reading each second. `spread` of
// the tasks around each other, by a fixed pattern.
void RunStep(WorkerSpeeds* speeds, const std::string& step, int workers, Duration work,
             Duration time, Time begin, double spread = 0) {
  std::vector<RunHandle> runs;
  runs.reserve(kReservedRuns);
  for (int run = 0; run < 2 * workers; ++run) {
    runs.push_back(
        speeds->BeginRun({step, "queue", "service", NameOf(run % workers), seconds(5)}, begin));
  }
  for (Time now = begin + milliseconds(100); now <= begin + time; now += seconds(1)) {
    for (int run = 0; run < 2 * workers; ++run) {
      const double uneven = 1 + spread * ((run * 7 + static_cast<int>(step.size())) % 5 - 2);
      const double whole = Seconds(work) * FactorOf(run % workers) * uneven;
      const int percent = static_cast<int>(100 * Seconds(now - begin) / whole);
      speeds->RecordProgress(runs[static_cast<size_t>(run)], std::min(percent, 100), now);
    }
    speeds->Update(now);
  }
}

// The load pattern: nothing but the progress of the runs shows which workers are slow. The work of
// a step is twice what its caller said.
TEST(WorkerSpeeds, LearnsFactorsWithinFiveSecondsOfWork) {
  const auto speeds = MakeLearnedSpeeds();
  RunStep(speeds.get(), "a", 12, seconds(10), seconds(5), kStart);
  EXPECT_TRUE(speeds->uneven());
  for (int index = 0; index < 12; ++index) {
    EXPECT_NEAR(speeds->TimeFactor(NameOf(index), kStart), FactorOf(index), 0.2) << index;
  }
}

// Tasks of a step differ by up to two fifths, so that single runs say little.
TEST(WorkerSpeeds, TellsWorkersFromUnevenTasks) {
  const auto speeds = MakeLearnedSpeeds();
  for (int step = 0; step < 8; ++step) {
    RunStep(speeds.get(), std::string(static_cast<size_t>(step + 1), 's'), 12, seconds(10),
            seconds(4), kStart + seconds(4 * step), 0.2);
    speeds->Update(kStart + seconds(4 * step + 4));
  }
  for (int index = 0; index < 12; ++index) {
    EXPECT_NEAR(speeds->TimeFactor(NameOf(index), kStart), FactorOf(index), 0.25) << index;
  }
}

// A pool of equal workers must be served as before: noise must not pass for speed.
TEST(WorkerSpeeds, EqualWorkersKeepTheFactorOne) {
  const auto speeds = MakeLearnedSpeeds();
  std::vector<RunHandle> runs;
  runs.reserve(kReservedRuns);
  for (int index = 0; index < 40; ++index) {
    runs.push_back(speeds->BeginRun({"a", "queue", "service", NameOf(index), seconds(5)}, kStart));
  }
  for (int second = 1; second < 6; ++second) {
    for (int index = 0; index < 40; ++index) {
      const int percent = second * (14 + (index * 5) % 8);
      speeds->RecordProgress(runs[static_cast<size_t>(index)], std::min(percent, 99),
                             kStart + seconds(second));
    }
  }
  speeds->Update(kStart + seconds(6));
  EXPECT_FALSE(speeds->uneven());
  EXPECT_EQ(speeds->TimeFactor(NameOf(3), kStart), 1);
}

// One task in thirty takes seven times as long as the others of its step. Its worker is not slow.
TEST(WorkerSpeeds, ATaskWithMuchMoreWorkDoesNotMakeItsWorkerSlow) {
  const auto speeds = MakeLearnedSpeeds();
  std::vector<RunHandle> runs;
  runs.reserve(kReservedRuns);
  for (int run = 0; run < 30; ++run) {
    runs.push_back(
        speeds->BeginRun({"a", "queue", "service", NameOf(run % 10), seconds(5)}, kStart));
  }
  for (int second = 1; second < 6; ++second) {
    for (int run = 0; run < 30; ++run) {
      const int per_second = run == 0 ? 2 : 14;
      speeds->RecordProgress(runs[static_cast<size_t>(run)], second * per_second,
                             kStart + seconds(second));
    }
  }
  EXPECT_TRUE(speeds->Update(kStart + seconds(6)).empty());
  EXPECT_EQ(speeds->summary().slow, 0);
}

// An unknown worker must be taken neither for a fast nor for a slow one.
TEST(WorkerSpeeds, UnknownWorkersAreTypicalButUncertain) {
  const auto speeds = MakeLearnedSpeeds();
  RunStep(speeds.get(), "a", 12, seconds(10), seconds(5), kStart);
  speeds->Update(kStart + seconds(5));
  EXPECT_EQ(speeds->TimeFactor("new", kStart), 1);
  EXPECT_GT(speeds->CautiousFactor("new", kStart), speeds->CautiousFactor(NameOf(1), kStart));
}

// A new incarnation may run on another VM. The speed of the former one would mislead.
TEST(WorkerSpeeds, ANewIncarnationStartsAfresh) {
  const auto speeds = MakeLearnedSpeeds();
  for (int index = 0; index < 12; ++index) speeds->BeginIncarnation(NameOf(index), 1000);
  RunStep(speeds.get(), "a", 12, seconds(10), seconds(5), kStart);
  speeds->Update(kStart + seconds(5));
  ASSERT_GT(speeds->TimeFactor(NameOf(2), kStart), 1.3);
  speeds->BeginIncarnation(NameOf(2), 2000);
  EXPECT_EQ(speeds->TimeFactor(NameOf(2), kStart), 1);
  // A repeated report of the same incarnation keeps what was learned.
  speeds->BeginIncarnation(NameOf(5), 1000);
  EXPECT_GT(speeds->TimeFactor(NameOf(5), kStart), 1.3);
}

// Reports of runs that ended before the planner knew them, or of a former incarnation.
TEST(WorkerSpeeds, IgnoresRunsThatItDoesNotKnow) {
  const auto speeds = MakeLearnedSpeeds();
  speeds->RecordProgress(0, 50, kStart);
  speeds->RecordDone(77, seconds(3), kStart);
  EXPECT_EQ(speeds->summary().known, 0);
}

// A planner is replaced halfway. Its successor would place urgent gangs blindly again.
TEST(WorkerSpeeds, ASuccessorKnowsTheSpeeds) {
  const auto speeds = MakeLearnedSpeeds();
  for (int index = 0; index < 12; ++index) speeds->BeginIncarnation(NameOf(index), 1000);
  RunStep(speeds.get(), "a", 12, seconds(10), seconds(5), kStart);
  speeds->Update(kStart + seconds(5));
  const auto successor = MakeLearnedSpeeds();
  successor->Load(speeds->Save(kManyBytes, kStart), seconds(3), kStart);
  EXPECT_TRUE(successor->uneven());
  for (int index = 0; index < 12; ++index) {
    successor->BeginIncarnation(NameOf(index), 1000);
    EXPECT_NEAR(successor->TimeFactor(NameOf(index), kStart), FactorOf(index), 0.2) << index;
  }
  // A worker that was replaced while there was no planner.
  successor->BeginIncarnation(NameOf(2), 2000);
  EXPECT_EQ(successor->TimeFactor(NameOf(2), kStart), 1);
}

// The record of a large pool must not outgrow the limit of the store.
TEST(WorkerSpeeds, SavesTheBestKnownWorkersWithinTheLimit) {
  const auto speeds = MakeLearnedSpeeds();
  RunStep(speeds.get(), "a", 1400, seconds(10), seconds(5), kStart);
  speeds->Update(kStart + seconds(5));
  constexpr size_t kLimit = 8 * 1024;
  const nlohmann::json saved = speeds->Save(kLimit, kStart);
  EXPECT_LE(saved.dump().size(), kLimit);
  EXPECT_GT(saved.at("workers").size(), 50U);
}

// Unreadable records must not stop a planner, nor leave it with half of them.
TEST(WorkerSpeeds, RejectsUnreadableRecordsWhole) {
  const auto speeds = MakeLearnedSpeeds();
  RunStep(speeds.get(), "a", 12, seconds(10), seconds(5), kStart);
  speeds->Update(kStart + seconds(5));
  for (const char* text :
       {R"({})", R"({"workers":{"x":[1]}})", R"({"workers":{"x":[1,99999999,100,"slow","s"]}})",
        R"({"workers":{"x":["a",0,100,"slow","s"]}})", R"({"workers":{"x":[1,0,0,"slow","s"]}})",
        R"({"workers":{"x":[1,0,100,"quick","s"]}})"}) {
    EXPECT_THROW(speeds->Load(nlohmann::json::parse(text), seconds(1), kStart), Error) << text;
  }
  EXPECT_EQ(speeds->summary().known, 12);
}

// Workers that have left must not decide for good what counts as typical or uneven.
TEST(WorkerSpeeds, ForgetsWorkersThatAreNoLongerUsed) {
  const auto speeds = MakeLearnedSpeeds();
  RunStep(speeds.get(), "a", 12, seconds(10), seconds(5), kStart);
  ASSERT_EQ(speeds->summary().known, 12);
  speeds->Update(kStart + std::chrono::minutes(11));
  EXPECT_EQ(speeds->summary().known, 0);
}

// A gang that ran on one worker says nothing of that worker's speed, whatever was believed of it.
TEST(WorkerSpeeds, AStepOnOneWorkerIsWeakEvidence) {
  const auto speeds = MakeLearnedSpeeds();
  for (int step = 0; step < 6; ++step) {
    const Time begin = kStart + seconds(5 * step);
    const RunHandle run =
        speeds->BeginRun({std::to_string(step), "queue", "service", "worker-0", seconds(5)}, begin);
    speeds->RecordProgress(run, 10, begin + seconds(1));
    speeds->RecordProgress(run, 40, begin + seconds(4));
    speeds->Update(begin + seconds(4));
  }
  EXPECT_EQ(speeds->summary().slow, 0);
}

// Steps whose runs are too short to show progress must not be kept for good.
TEST(WorkerSpeeds, ReleasesStepsOfShortRuns) {
  const auto speeds = MakeLearnedSpeeds();
  const RunHandle run = speeds->BeginRun({"a", "queue", "service", "worker-0", seconds(5)}, kStart);
  speeds->RecordDone(run, milliseconds(900), kStart + seconds(1));
  speeds->Update(kStart + seconds(40));
  speeds->RecordProgress(run, 10, kStart + seconds(41));
  speeds->RecordProgress(run, 90, kStart + seconds(49));
  EXPECT_TRUE(speeds->Update(kStart + seconds(50)).empty());
}

// Workers of another service do other work and must not decide what is typical here.
TEST(WorkerSpeeds, ComparesWorkersOfOneServiceOnly) {
  const auto speeds = MakeLearnedSpeeds();
  RunStep(speeds.get(), "a", 12, seconds(10), seconds(5), kStart);
  for (int index = 0; index < 30; ++index) {
    const std::string name = "other-" + std::to_string(index);
    const RunHandle run = speeds->BeginRun({"b", "other", "other", name, seconds(5)}, kStart);
    speeds->RecordProgress(run, 10, kStart + seconds(1));
    speeds->RecordProgress(run, 12, kStart + seconds(5));
  }
  speeds->Update(kStart + seconds(6));
  EXPECT_NEAR(speeds->TimeFactor(NameOf(1), kStart), 1, 0.1);
}

// A planner that is replaced again and again must not shrink what was known towards typical.
TEST(WorkerSpeeds, KeepsItsKnowledgeThroughSeveralSuccessors) {
  auto speeds = MakeLearnedSpeeds();
  RunStep(speeds.get(), "a", 12, seconds(10), seconds(5), kStart);
  const double before = speeds->TimeFactor(NameOf(2), kStart);
  for (int i = 0; i < 5; ++i) {
    auto successor = MakeLearnedSpeeds();
    successor->Load(speeds->Save(kManyBytes, kStart), seconds(1), kStart);
    speeds = std::move(successor);
  }
  EXPECT_NEAR(speeds->TimeFactor(NameOf(2), kStart), before, 0.1);
}

// A worker of which little is known must not be saved as an extreme, which would make the whole
// record unreadable.
TEST(WorkerSpeeds, SavesOnlyWhatItCanLoad) {
  const auto speeds = MakeLearnedSpeeds();
  const RunHandle weak =
      speeds->BeginRun({"alone", "queue", "service", "weak", seconds(5)}, kStart);
  speeds->RecordProgress(weak, 10, kStart);
  speeds->RecordProgress(weak, 20, kStart + seconds(4));
  std::vector<RunHandle> runs;
  runs.reserve(kReservedRuns);
  for (int index = 0; index < 60; ++index) {
    runs.push_back(speeds->BeginRun({"a", "queue", "service", NameOf(index), seconds(5)}, kStart));
  }
  for (int second = 1; second < 8; ++second) {
    for (const RunHandle run : runs) {
      speeds->RecordProgress(run, 12 * second, kStart + seconds(second));
    }
    speeds->Update(kStart + seconds(second));
    const auto successor = MakeLearnedSpeeds();
    EXPECT_NO_THROW(successor->Load(speeds->Save(kManyBytes, kStart), seconds(1), kStart));
  }
}

// A worker that has no work for long stays the incarnation that it was.
TEST(WorkerSpeeds, KeepsTheIncarnationOfAnUnusedWorker) {
  const auto speeds = MakeLearnedSpeeds();
  for (int index = 0; index < 12; ++index) speeds->BeginIncarnation(NameOf(index), 1000);
  RunStep(speeds.get(), "a", 12, seconds(10), seconds(5), kStart);
  const Time later = kStart + std::chrono::minutes(11);
  speeds->Update(later);
  RunStep(speeds.get(), "b", 12, seconds(10), seconds(5), later);
  ASSERT_GT(speeds->TimeFactor(NameOf(2), later), 1.3);
  speeds->BeginIncarnation(NameOf(2), 1000);
  EXPECT_GT(speeds->TimeFactor(NameOf(2), later), 1.3);
}

// A pool whose planner has the mechanism switched off.
TEST(WorkerSpeeds, EqualSpeedsLearnNothing) {
  const auto speeds = MakeEqualSpeeds();
  RunStep(speeds.get(), "a", 12, seconds(10), seconds(5), kStart);
  EXPECT_TRUE(speeds->Update(kStart + seconds(5)).empty());
  EXPECT_EQ(speeds->TimeFactor(NameOf(2), kStart), 1);
}

}  // namespace
}  // namespace turmericshift::speeds
