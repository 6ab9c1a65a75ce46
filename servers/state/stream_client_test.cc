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

// Loses the answer to the first append and refuses all later ones, so that the record may be in the
// log although the last answer says that it was not appended.
class LostThenRefusedLog : public MemoryLog {
 public:
  Offset Append(const std::string& stream, const std::string& bytes, Duration timeout) override {
    if (first_) {
      first_ = false;
      // Takes effect much later, after the writer has given up.
      delayed_bytes_ = bytes;
      throw Error(ErrorKind::kLogUnavailable, Outcome::kUnknown, "the answer was lost");
    }
    if (!delayed_bytes_.empty()) throw Error(ErrorKind::kLogUnavailable, Outcome::kNotRun, "down");
    return MemoryLog::Append(stream, bytes, timeout);
  }
  void AppendDelayed() { MemoryLog::Append("members", std::exchange(delayed_bytes_, ""), {}); }

 private:
  std::atomic<bool> first_{true};
  std::string delayed_bytes_;
};

// The answer to an append is lost, then the log refuses connections. Outcome not_run would be
// wrong, since the first append may still take effect, as it does here.
TEST(StreamClientTest, RefusalAfterLostAnswerKeepsOutcomeUnknown) {
  LostThenRefusedLog log;
  ReplicatedMembers members;
  MetricsRegistry metrics;
  StreamClient client(Stream::kMembers, &log, &members, &metrics, Quick());
  try {
    client.Write(Member("one"), milliseconds(400));
    FAIL() << "the write did not fail";
  } catch (const Error& error) {
    EXPECT_EQ(error.outcome(), Outcome::kUnknown);
  }
  log.AppendDelayed();
  client.Write(Member("two"), seconds(5));
  EXPECT_EQ(members.members().size(), 2U);
}

// The log accepts appends and loses the answers. Writers find their records by reading, and
// duplicates change nothing.
TEST(StreamClientTest, WritesWithLostAnswersSucceedByReadingBack) {
  MemoryLog log;
  log.SetFaults({.append_answers_lost = true});
  ReplicatedMembers members;
  MetricsRegistry metrics;
  StreamClient client(Stream::kMembers, &log, &members, &metrics, Quick());
  const std::vector<WriteResult> written =
      client.WriteAll({Member("one"), Member("two"), Member("three")}, seconds(5));
  ASSERT_EQ(written.size(), 3U);
  EXPECT_LT(written[0].sequence, written[2].sequence);
  EXPECT_EQ(members.members().size(), 3U);
}

// A duplicate record that is appended late must not undo the records in between.
TEST(StreamClientTest, DuplicateRecordIsIgnored) {
  ReplicatedMembers members;
  StateReplica replica("members", &members);
  const MemberJoined joined = Member("one");
  replica.Apply({0, EncodeRecords({joined})});
  replica.Apply({1, EncodeRecords({MemberLeft{NewRecordId(), "one", "i"}})});
  EXPECT_TRUE(replica.Apply({2, EncodeRecords({joined})}).empty());
  EXPECT_TRUE(members.members().empty());
}

TEST(StreamClientTest, WriteDuringOutageHasOutcomeNotRun) {
  MemoryLog log;
  log.SetFaults({.appends_fail = true, .reads_fail = true});
  ReplicatedMembers members;
  MetricsRegistry metrics;
  StreamClient client(Stream::kMembers, &log, &members, &metrics, Quick());
  try {
    client.Write(Member("one"), milliseconds(200));
    FAIL() << "the write did not fail";
  } catch (const Error& error) {
    EXPECT_EQ(error.outcome(), Outcome::kNotRun);
  }
  log.SetFaults({});
  client.Write(Member("two"), seconds(5));
  EXPECT_EQ(members.members().size(), 1U);
}

// Records older than the log's retention are gone. A process that starts, or was paused for longer
// than the retention, must continue from the newest complete snapshot and reach the same state as
// the others.
TEST(StreamClientTest, ReaderBehindTrimRestoresSnapshot) {
  MemoryLog log;
  ReplicatedMembers members;
  MetricsRegistry metrics;
  StreamClient writer(Stream::kMembers, &log, &members, &metrics, Quick());
  for (int index = 0; index < 20; ++index) {
    writer.Write(Member("entry-" + std::to_string(index)), seconds(5));
  }
  const Time now = DefaultClock().Now();
  ASSERT_TRUE(writer.WaitUntilFresh(seconds(5)));
  ASSERT_TRUE(writer.WriteSnapshotIfDue(now, 1000));
  EXPECT_FALSE(writer.WriteSnapshotIfDue(now, 1000));
  writer.Write(Member("entry-after"), seconds(5));
  log.Trim("members", 20);
  ReplicatedMembers late_members;
  StreamClient late(Stream::kMembers, &log, &late_members, &metrics, Quick());
  ASSERT_TRUE(late.WaitUntilFresh(seconds(5)));
  EXPECT_EQ(late_members.members().size(), 21U);
  EXPECT_EQ(late.TakeSnapshot().bytes, writer.TakeSnapshot().bytes);
  EXPECT_EQ(late.TakeSnapshot().covers, writer.TakeSnapshot().covers);
}

// Without a snapshot, the trimmed records are lost. A reader that continued anyway would revert
// accepted changes.
TEST(StreamClientTest, ReaderWithoutSnapshotNeverBecomesFresh) {
  MemoryLog log;
  for (int index = 0; index < 3; ++index) {
    log.Append("members", EncodeRecords({Member("one")}), {});
  }
  log.Trim("members", 2);
  ReplicatedMembers members;
  MetricsRegistry metrics;
  StreamClient client(Stream::kMembers, &log, &members, &metrics, Quick());
  EXPECT_FALSE(client.WaitUntilFresh(milliseconds(300)));
  EXPECT_TRUE(client.view().failing);
}

// Many jobs arrive while operators take a zone out. The zone change must not queue behind the jobs.
TEST(AppendBudgetTest, ZoneChangesHavePriorityWithoutStarvation) {
  AppendBudget budget(10);
  const Time start = Time{} + std::chrono::hours(1);
  Time now = start;
  constexpr size_t kJobs = 40;
  std::vector<AppendBudget::Ticket> jobs;
  jobs.reserve(kJobs);
  for (size_t index = 0; index < kJobs; ++index) jobs.push_back(budget.Enqueue(Stream::kJobs, now));
  size_t granted = 0;
  while (granted < jobs.size() && budget.TryAcquire(jobs[granted], now)) ++granted;
  EXPECT_EQ(granted, 11U);
  const AppendBudget::Ticket zone = budget.Enqueue(Stream::kConfig, now);
  now += milliseconds(100);
  EXPECT_FALSE(budget.TryAcquire(jobs[granted], now));
  EXPECT_TRUE(budget.TryAcquire(zone, now));
  now += milliseconds(2000);
  const AppendBudget::Ticket later = budget.Enqueue(Stream::kConfig, now);
  EXPECT_FALSE(budget.TryAcquire(later, now));
  EXPECT_TRUE(budget.TryAcquire(jobs[granted], now));
}

}  // namespace
}  // namespace turmericshift
