#include "servers/state/stream_client.h"

#include <gtest/gtest.h>

#include <thread>

#include "core/digest.h"
#include "core/error.h"
#include "modules/stand_ins/memory_log.h"
#include "servers/state/replicated_members.h"

namespace turmericshift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

MemberJoined Member(const std::string& process) {
  return {NewRecordId(), process, "entry", "a", "10.0.0.1:1", "i"};
}

StreamOptions Quick() {
  StreamOptions options;
  options.long_poll_wait = milliseconds(50);
  options.snapshot_entries = 10;
  options.snapshot_jitter = Duration::zero();
  return options;
}

// Fails the first append with its answer lost and the ones after it for sure, so that the record
// may be in the log although the newest answer says that it was not appended.
class LostThenRefusedLog : public MemoryLog {
 public:
  Offset Append(const std::string& stream, const std::string& bytes, Duration timeout) override {
    if (first_) {
      first_ = false;
      // Lands much later, once the writer has given up.
      late_ = bytes;
      throw Error(ErrorKind::kLogUnavailable, Outcome::kUnknown, "the answer was lost");
    }
    if (!late_.empty()) throw Error(ErrorKind::kLogUnavailable, Outcome::kNotRun, "down");
    return MemoryLog::Append(stream, bytes, timeout);
  }
  void LandLate() { MemoryLog::Append("members", std::exchange(late_, ""), {}); }

 private:
  std::atomic<bool> first_{true};
  std::string late_;
};

// An append's answer is lost, then the log refuses connections. "Not run" would be untrue: the
// first append may still take effect, as it does here.
TEST(StreamClientTest, ALaterRefusalDoesNotMakeALostAnswerNotRun) {
  LostThenRefusedLog log;
  ReplicatedMembers fold;
  MetricsRegistry metrics;
  StreamClient client(Stream::kMembers, &log, &fold, &metrics, Quick());
  try {
    client.Write(Member("one"), milliseconds(400));
    FAIL() << "the write did not fail";
  } catch (const Error& error) {
    EXPECT_EQ(error.outcome(), Outcome::kUnknown);
  }
  log.LandLate();
  client.Write(Member("two"), seconds(5));
  EXPECT_EQ(fold.members().size(), 2U);
}

// The log takes appends and loses the answers: writers find their records by reading, and repeated
// copies change nothing.
TEST(StreamClientTest, LostAnswersAreFoundByReading) {
  MemoryLog log;
  log.SetFaults({.append_answers_lost = true});
  ReplicatedMembers fold;
  MetricsRegistry metrics;
  StreamClient client(Stream::kMembers, &log, &fold, &metrics, Quick());
  const std::vector<WriteResult> written =
      client.WriteAll({Member("one"), Member("two"), Member("three")}, seconds(5));
  ASSERT_EQ(written.size(), 3U);
  EXPECT_LT(written[0].sequence, written[2].sequence);
  EXPECT_EQ(fold.members().size(), 3U);
}

// A repeated "goodbye" or claim that lands late must not undo what came in between.
TEST(StreamClientTest, ASecondCopyOfARecordIsLeftOut) {
  ReplicatedMembers fold;
  StateReplica host("members", &fold);
  const MemberJoined joined = Member("one");
  host.Apply({0, EncodeRecords({joined})});
  host.Apply({1, EncodeRecords({MemberLeft{NewRecordId(), "one", "i"}})});
  EXPECT_TRUE(host.Apply({2, EncodeRecords({joined})}).empty());
  EXPECT_TRUE(fold.members().empty());
}

TEST(StreamClientTest, AWriteDuringAnOutageIsTrulyNotRun) {
  MemoryLog log;
  log.SetFaults({.appends_fail = true, .reads_fail = true});
  ReplicatedMembers fold;
  MetricsRegistry metrics;
  StreamClient client(Stream::kMembers, &log, &fold, &metrics, Quick());
  try {
    client.Write(Member("one"), milliseconds(200));
    FAIL() << "the write did not fail";
  } catch (const Error& error) {
    EXPECT_EQ(error.outcome(), Outcome::kNotRun);
  }
  log.SetFaults({});
  client.Write(Member("two"), seconds(5));
  EXPECT_EQ(fold.members().size(), 1U);
}

// Records older than the log's retention are gone; a process that starts, or was paused for longer
// than that, goes on from the newest whole snapshot and agrees with the others.
TEST(StreamClientTest, AReaderBehindTheTrimRestartsFromTheSnapshot) {
  MemoryLog log;
  ReplicatedMembers fold;
  MetricsRegistry metrics;
  StreamClient writer(Stream::kMembers, &log, &fold, &metrics, Quick());
  for (int index = 0; index < 20; ++index) {
    writer.Write(Member("entry-" + std::to_string(index)), seconds(5));
  }
  const Time now = DefaultClock().Now();
  ASSERT_TRUE(writer.WaitUntilFresh(seconds(5)));
  ASSERT_TRUE(writer.WriteSnapshotIfDue(now, 1000));
  EXPECT_FALSE(writer.WriteSnapshotIfDue(now, 1000));
  writer.Write(Member("entry-after"), seconds(5));
  log.Trim("members", 20);
  ReplicatedMembers late_fold;
  StreamClient late(Stream::kMembers, &log, &late_fold, &metrics, Quick());
  ASSERT_TRUE(late.WaitUntilFresh(seconds(5)));
  EXPECT_EQ(late_fold.members().size(), 21U);
  EXPECT_EQ(late.TakeSnapshot().bytes, writer.TakeSnapshot().bytes);
  EXPECT_EQ(late.TakeSnapshot().covers, writer.TakeSnapshot().covers);
}

// Without any snapshot the trimmed records are lost; guessing would revert what was accepted.
TEST(StreamClientTest, AReaderWithoutSnapshotNeverCallsItselfFresh) {
  MemoryLog log;
  for (int index = 0; index < 3; ++index) {
    log.Append("members", EncodeRecords({Member("one")}), {});
  }
  log.Trim("members", 2);
  ReplicatedMembers fold;
  MetricsRegistry metrics;
  StreamClient client(Stream::kMembers, &log, &fold, &metrics, Quick());
  EXPECT_FALSE(client.WaitUntilFresh(milliseconds(300)));
  EXPECT_TRUE(client.view().failing);
}

// Many jobs arrive while operators take a zone out: the zone change must not queue behind them.
TEST(AppendBudgetTest, ZoneChangesGoFirstAndNobodyStarves) {
  AppendBudget budget(10);
  const Time start = Time{} + std::chrono::hours(1);
  Time now = start;
  constexpr size_t kJobs = 40;
  std::vector<AppendBudget::Ticket> jobs;
  jobs.reserve(kJobs);
  for (size_t index = 0; index < kJobs; ++index) jobs.push_back(budget.Enter(Stream::kJobs, now));
  size_t went = 0;
  while (went < jobs.size() && budget.TryGo(jobs[went], now)) ++went;
  EXPECT_EQ(went, 11U);
  const AppendBudget::Ticket zone = budget.Enter(Stream::kConfig, now);
  now += milliseconds(100);
  EXPECT_FALSE(budget.TryGo(jobs[went], now));
  EXPECT_TRUE(budget.TryGo(zone, now));
  now += milliseconds(2000);
  const AppendBudget::Ticket later = budget.Enter(Stream::kConfig, now);
  EXPECT_FALSE(budget.TryGo(later, now));
  EXPECT_TRUE(budget.TryGo(jobs[went], now));
}

}  // namespace
}  // namespace turmericshift
