// Checks for every replicated state and at any offset that restoring a snapshot and replaying the
// rest gives the same state as replaying all entries.
#include "servers/state/snapshot.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <memory>

#include "core/digest.h"
#include "servers/state/replicated_config.h"
#include "servers/state/replicated_jobs.h"
#include "servers/state/replicated_members.h"
#include "servers/state/replicated_requests.h"
#include "servers/state/state_replica.h"

namespace turmericshift {
namespace {

constexpr const char* kDocument =
    "[environment]\ndeployment = test\n[availability_zone a]\nstate = in\nworkers = 1\n"
    "workers_per_rack = 1\nprocessors_per_worker = 4\naccelerators_per_worker = 8\n"
    "memory_per_worker = 1GiB\n";

// Small sets of names, so that records often conflict.
std::string Name(const char* prefix) { return prefix + std::to_string(*rc::gen::inRange(0, 4)); }

Record AnyRecord() {
  const std::string id = "id" + std::to_string(*rc::gen::inRange(0, 200));
  const int64_t number = *rc::gen::inRange<int64_t>(0, 4);
  const std::string text = kDocument + std::string("# ") + std::to_string(number) + "\n";
  JobSpec spec;
  spec.workspace = "w";
  spec.key = Name("k");
  switch (*rc::gen::inRange(0, 14)) {
    case 0:
      return ConfigPublished{id, number + 1, number, Digest(text), text, "kati", number, "", false};
    case 1:
      return ZoneChanged{id, "a", *rc::gen::arbitrary<bool>(), "angus", number, ""};
    case 2:
      return RequestClaimed{id,      "w", Name("k"), "s", "d", static_cast<int>(number),
                            "agent", "i", 5};
    case 3:
      return RequestEnded{id, "w", Name("k"), static_cast<int>(number), 200, "body \xC3\xA9", "d"};
    case 4:
      return JobSubmitted{id, spec, Name("zone"), 1, number};
    case 5:
      return JobCancelled{id, JobId("w", spec.key)};
    case 6:
      return JobEnded{id, JobId("w", spec.key), number, JobState::kDone, "", number, number};
    case 7:
      return JobMoved{id, JobId("w", spec.key), Name("zone"), Name("zone"), number, "checkpoint"};
    case 8:
      return PlannerClaimed{id, Name("zone"), Name("entry"), number - 1};
    case 9:
      return MemberJoined{id, Name("entry"), "entry", "a", "10.0.0.1:1", Name("i")};
    case 10:
      return JobStarting{id, JobId("w", spec.key), number, number, false};
    case 11:
      return JobNotStarted{id, JobId("w", spec.key), number, number};
    case 12:
      return PlannerReleased{id, Name("zone"), number};
    default:
      return MemberLeft{id, Name("entry"), Name("i")};
  }
}

std::vector<std::unique_ptr<ReplicatedState>> AllStates() {
  std::vector<std::unique_ptr<ReplicatedState>> states;
  states.push_back(std::make_unique<ReplicatedConfig>());
  states.push_back(std::make_unique<ReplicatedRequests>());
  // Limits so small that keys expire and are forgotten within a few records.
  states.push_back(std::make_unique<ReplicatedRequests>(RequestRetentionLimits{2, 8, 2}));
  states.push_back(std::make_unique<ReplicatedJobs>());
  states.push_back(std::make_unique<ReplicatedMembers>());
  return states;
}

// Splits the snapshot and assembles it again, as a reader does with parts from the log.
SnapshotState SplitAndAssemble(const SnapshotState& state) {
  SnapshotAssembler assembler;
  std::optional<SnapshotState> whole;
  for (const SnapshotPart& part : SplitSnapshot("test", state)) whole = assembler.Add(part);
  RC_ASSERT(whole.has_value());
  return *whole;
}

TEST(SnapshotTest, SnapshotPlusRestEqualsFullReplay) {
  rc::check([] {
    std::vector<LogEntry> entries;
    const int count = *rc::gen::inRange(1, 40);
    for (int offset = 0; offset < count; ++offset) {
      std::vector<Record> group{AnyRecord()};
      if (offset % 3 == 0) group.push_back(AnyRecord());
      entries.push_back({offset, EncodeRecords(group)});
    }
    const int cut = *rc::gen::inRange(0, count + 1);
    std::vector<std::unique_ptr<ReplicatedState>> all = AllStates();
    std::vector<std::unique_ptr<ReplicatedState>> resumed = AllStates();
    for (size_t index = 0; index < all.size(); ++index) {
      StateReplica whole("test", all[index].get());
      SnapshotState snapshot = whole.TakeSnapshot(0);
      for (const LogEntry& entry : entries) {
        if (entry.offset == cut) snapshot = whole.TakeSnapshot(0);
        whole.Apply(entry);
      }
      if (cut == count) snapshot = whole.TakeSnapshot(0);
      StateReplica rest("test", resumed[index].get());
      rest.Restore(SplitAndAssemble(snapshot));
      for (const LogEntry& entry : entries) {
        if (entry.offset >= rest.next()) rest.Apply(entry);
      }
      RC_ASSERT(rest.TakeSnapshot(0).bytes == whole.TakeSnapshot(0).bytes);
      RC_ASSERT(rest.next() == whole.next());
    }
  });
}

// A writer dies between two parts, and another process writes its own snapshot later. Only the
// complete snapshot may be used.
TEST(SnapshotTest, IncompleteSnapshotIsIgnored) {
  const SnapshotState big{7, 1, std::string(kSnapshotPartBytes * 2, 'x')};
  const std::vector<SnapshotPart> parts = SplitSnapshot("test", big);
  ASSERT_EQ(parts.size(), 2U);
  SnapshotAssembler assembler;
  EXPECT_FALSE(assembler.Add(parts[0]));
  EXPECT_TRUE(assembler.Add(SplitSnapshot("test", {9, 1, "small"})[0]));
  EXPECT_FALSE(assembler.Add(parts[1]));
  SnapshotPart damaged = SplitSnapshot("test", {11, 1, "small"})[0];
  damaged.bytes = "other";
  EXPECT_FALSE(assembler.Add(damaged));
}

}  // namespace
}  // namespace turmericshift
