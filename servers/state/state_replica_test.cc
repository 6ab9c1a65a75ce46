#include "servers/state/state_replica.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace turmericshift {
namespace {

// Accepts a record if its author differs from that of the previous record.
class OncePerAuthor : public ReplicatedState {
 public:
  RecordVerdict Apply(const Record& record, Sequence /*sequence*/) override {
    const bool first = std::get<ZoneChanged>(record).author != last_;
    last_ = std::get<ZoneChanged>(record).author;
    return first ? RecordVerdict{} : RecordVerdict{false, "again by " + last_};
  }
  nlohmann::json Snapshot() const override { return last_; }
  void Restore(const nlohmann::json& state) override { last_ = state.get<std::string>(); }

 private:
  std::string last_;
};

LogEntry EntryOf(Offset offset, const std::string& id, const std::string& author) {
  return {offset, EncodeRecords({ZoneChanged{id, "a", true, author, 0, ""}})};
}

// A change was sent through two entries, and the writer of the second copy never got a result.
TEST(StateReplicaTest, DuplicateReturnsResultOfFirstCopy) {
  OncePerAuthor state;
  StateReplica replica("config", &state);
  replica.Apply(EntryOf(0, "one", "kati"));
  replica.Apply(EntryOf(1, "two", "kati"));
  replica.Apply(EntryOf(2, "three", "angus"));
  EXPECT_TRUE(replica.Apply(EntryOf(3, "two", "kati")).empty());
  const std::vector<AppliedRecord> again = replica.TakeDuplicates();
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again[0].id, "two");
  EXPECT_FALSE(again[0].written.verdict.accepted);
  EXPECT_EQ(again[0].written.verdict.reason, "again by kati");
  EXPECT_EQ(again[0].written.sequence, SequenceOf(1, 0));
  EXPECT_EQ(state.Snapshot(), "angus");
}

// Guards against memory use that grows with the stream.
TEST(StateReplicaTest, OldResultsAreForgotten) {
  OncePerAuthor state;
  StateReplica replica("config", &state);
  constexpr Offset kMany = 1000;
  for (Offset offset = 0; offset < kMany; ++offset) {
    replica.Apply(EntryOf(offset, "id" + std::to_string(offset), "kati"));
  }
  replica.Apply(EntryOf(kMany, "id0", "kati"));
  EXPECT_TRUE(replica.TakeDuplicates().empty());
  replica.Apply(EntryOf(kMany + 1, "id999", "kati"));
  EXPECT_EQ(replica.TakeDuplicates().size(), 1U);
}

}  // namespace
}  // namespace turmericshift
