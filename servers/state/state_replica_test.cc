#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "servers/state/state_replica.h"

namespace turmericshift {
namespace {

// Takes in the first record of each author.
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

// A change was sent to two entries; the writer of the second copy waited in vain for its record.
TEST(FoldHostTest, ASecondCopyCarriesTheVerdictOfTheFirst) {
  OncePerAuthor fold;
  StateReplica host("config", &fold);
  host.Apply(EntryOf(0, "one", "kati"));
  host.Apply(EntryOf(1, "two", "kati"));
  host.Apply(EntryOf(2, "three", "angus"));
  EXPECT_TRUE(host.Apply(EntryOf(3, "two", "kati")).empty());
  const std::vector<AppliedRecord> again = host.TakeRepeated();
  ASSERT_EQ(again.size(), 1U);
  EXPECT_EQ(again[0].id, "two");
  EXPECT_FALSE(again[0].written.verdict.accepted);
  EXPECT_EQ(again[0].written.verdict.reason, "again by kati");
  EXPECT_EQ(again[0].written.sequence, SequenceOf(1, 0));
  EXPECT_EQ(fold.Snapshot(), "angus");
}

// Memory must not grow with the stream.
TEST(FoldHostTest, VerdictsOfLongAgoAreForgotten) {
  OncePerAuthor fold;
  StateReplica host("config", &fold);
  constexpr Offset kMany = 1000;
  for (Offset offset = 0; offset < kMany; ++offset) {
    host.Apply(EntryOf(offset, "id" + std::to_string(offset), "kati"));
  }
  host.Apply(EntryOf(kMany, "id0", "kati"));
  EXPECT_TRUE(host.TakeRepeated().empty());
  host.Apply(EntryOf(kMany + 1, "id999", "kati"));
  EXPECT_EQ(host.TakeRepeated().size(), 1U);
}

}  // namespace
}  // namespace turmericshift
