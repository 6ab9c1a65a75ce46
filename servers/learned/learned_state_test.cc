#include "servers/learned/learned_state.h"

#include <gtest/gtest.h>

#include <functional>
#include <limits>
#include <optional>

#include "core/error.h"
#include "servers/learned/saved_rows.h"

namespace turmericshift::learned {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart = Time(std::chrono::hours(1));
constexpr int64_t kWallMs = 1'700'000'000'000;

// Knows one text.
class TextPart : public LearnedPart {
 public:
  explicit TextPart(std::string name, Duration max_age = seconds(60))
      : name_(std::move(name)), max_age_(max_age) {}

  std::string name() const override { return name_; }
  int version() const override { return 3; }
  Duration max_age() const override { return max_age_; }
  nlohmann::json Save(size_t, Time) const override { return text; }
  void Load(const nlohmann::json& data, Duration age, Time) override {
    text = ReadSaved([&] { return data.get<std::string>(); });
    loaded_age = age;
  }

  std::string text;
  std::optional<Duration> loaded_age;

 private:
  const std::string name_;
  const Duration max_age_;
};

std::string RecordOf(const std::string& text, int64_t at_ms, int version = 3) {
  return nlohmann::json({{"v", version}, {"at", at_ms}, {"data", text}}).dump();
}

LoadOutcome LoadOne(const std::string& record, TextPart* part) {
  LearnedState state({part}, kStart);
  const auto outcomes = state.Load({{part->name(), record}}, kWallMs, kStart);
  EXPECT_EQ(outcomes.size(), 1U);
  return outcomes.at(0);
}

// Bytes of all records that are due within `time`, with a round of planning every 100 ms.
size_t BytesWithin(Duration time, const std::function<void()>& learn, LearnedState* state) {
  size_t bytes = 0;
  for (Time now = kStart; now <= kStart + time; now += milliseconds(100)) {
    learn();
    for (const LearnedRecord& each : state->TakeDue(kWallMs, now)) {
      bytes += each.key.size() + each.value.size();
    }
  }
  return bytes;
}

// The successor gets what this planner has learned, with its age.
TEST(LearnedState, LoadsWhatItWrote) {
  TextPart part("part");
  LearnedState state({&part}, kStart);
  part.text = "learned";
  const auto due = state.TakeDue(kWallMs - 7000, kStart + seconds(5));
  ASSERT_EQ(due.size(), 1U);
  EXPECT_EQ(due[0].key, "l/part");
  TextPart next("part");
  const LoadOutcome outcome = LoadOne(due[0].value, &next);
  EXPECT_EQ(outcome.result, LoadResult::kLoaded);
  EXPECT_EQ(next.text, "learned");
  EXPECT_EQ(next.loaded_age, seconds(7));
}

// Records that tell nothing new would use up the store's and the readers' bandwidth.
TEST(LearnedState, WritesOnlyChangedContentAtIntervals) {
  TextPart part("part");
  LearnedState state({&part}, kStart);
  EXPECT_TRUE(state.TakeDue(kWallMs, kStart + seconds(10)).empty());
  part.text = "a";
  EXPECT_EQ(state.TakeDue(kWallMs, kStart + seconds(15)).size(), 1U);
  part.text = "b";
  EXPECT_TRUE(state.TakeDue(kWallMs, kStart + milliseconds(19'900)).empty());
  EXPECT_EQ(state.TakeDue(kWallMs, kStart + seconds(20)).size(), 1U);
  EXPECT_TRUE(state.TakeDue(kWallMs, kStart + seconds(30)).empty());
}

// A successor that writes back what it has just loaded adds load after each change of planner.
TEST(LearnedState, DoesNotWriteWhatItHasLoaded) {
  TextPart part("part");
  LearnedState state({&part}, kStart);
  state.Load({{"part", RecordOf("known", kWallMs)}}, kWallMs, kStart);
  EXPECT_TRUE(state.TakeDue(kWallMs, kStart + seconds(10)).empty());
}

// Large states that change all the time must not exceed 1 KB/s together.
TEST(LearnedState, LimitsTheBytesOfAllParts) {
  TextPart one("one");
  TextPart two("two");
  LearnedState state({&one, &two}, kStart);
  int step = 0;
  const size_t bytes = BytesWithin(
      seconds(300),
      [&] {
        one.text = std::string(40'000, 'a') + std::to_string(++step);
        two.text = std::string(9'000, 'a') + std::to_string(step);
      },
      &state);
  EXPECT_LE(bytes, 300U * 1024U);
  EXPECT_GE(bytes, 200U * 1024U);
}

// A part with large records must not keep a small part from being written, whose state is of use
// only for seconds.
TEST(LearnedState, LargeRecordsDoNotDelaySmallOnes) {
  TextPart large("large");
  TextPart small("small");
  LearnedState state({&large, &small}, kStart);
  int written = 0;
  for (int second = 1; second <= 60; ++second) {
    large.text = std::string(40'000, 'a') + std::to_string(second);
    small.text = std::to_string(second);
    for (const auto& each : state.TakeDue(kWallMs, kStart + seconds(second))) {
      written += each.key == "l/small";
    }
  }
  EXPECT_EQ(written, 12);
}

// An append that exceeds the platform's limit would be refused with all of its records.
TEST(LearnedState, LeavesOutAStateBeyondTheSizeLimit) {
  TextPart large("large");
  TextPart small("small");
  LearnedState state({&large, &small}, kStart);
  large.text = std::string(kMaxRecordBytes, 'a');
  small.text = "a";
  const auto due = state.TakeDue(kWallMs, kStart + seconds(200));
  ASSERT_EQ(due.size(), 1U);
  EXPECT_EQ(due[0].key, "l/small");
  EXPECT_EQ(state.TakeCounts().dropped, 1);
  EXPECT_EQ(state.TakeLast(kWallMs, kStart + seconds(200)).size(), 1U);
}

// What was learned since the last record would be lost at each rolling update.
TEST(LearnedState, WritesOnceMoreOnRelease) {
  TextPart changed("changed");
  TextPart unchanged("unchanged");
  TextPart empty("empty");
  LearnedState state({&changed, &unchanged, &empty}, kStart);
  changed.text = "a";
  unchanged.text = "a";
  EXPECT_EQ(state.TakeDue(kWallMs, kStart + seconds(5)).size(), 2U);
  changed.text = "b";
  const auto last = state.TakeLast(kWallMs + 1000, kStart + seconds(6));
  ASSERT_EQ(last.size(), 2U);
  EXPECT_EQ(last[0].value, "{\"v\":3,\"at\":1700000001000,\"data\":\"b\"}");
  EXPECT_EQ(last[1].key, "l/unchanged");
  const LearnedCounts counts = state.TakeCounts();
  EXPECT_EQ(counts.records, 4);
  EXPECT_GT(counts.bytes, 100);
  EXPECT_EQ(state.TakeCounts().records, 0);
}

// Nothing that is not a record of this part may reach it.
TEST(LearnedState, DiscardsRecordsThatItCannotRead) {
  const std::string deep(20'000, '[');
  for (const std::string& text : std::vector<std::string>{
           "", "{", "null", "[]", "{}", "\xff\xfe", deep, R"({"v":3,"at":1})",
           R"({"v":"3","at":1700000000000,"data":"a"})", R"({"v":3,"at":"now","data":"a"})",
           R"({"v":3,"at":1e300,"data":"a"})", R"({"v":3,"at":-1,"data":"a"})",
           R"({"v":3,"at":18446744073709551615,"data":"a"})",
           R"({"v":3,"at":1700000000000,"data":{"other":1}})"}) {
    TextPart part("part");
    EXPECT_EQ(LoadOne(text, &part).result, LoadResult::kUnreadable) << text.substr(0, 80);
    EXPECT_FALSE(part.loaded_age.has_value());
  }
}

// After a change of versions in either direction, a record of the other format must not be loaded.
TEST(LearnedState, DiscardsOtherVersions) {
  TextPart part("part");
  EXPECT_EQ(LoadOne(RecordOf("a", kWallMs, 2), &part).result, LoadResult::kUnknownVersion);
  EXPECT_EQ(LoadOne(RecordOf("a", kWallMs, 4), &part).result, LoadResult::kUnknownVersion);
  EXPECT_FALSE(part.loaded_age.has_value());
}

// Speeds or demand of long ago mislead more than they help.
TEST(LearnedState, DiscardsRecordsBeyondTheMaximumAge) {
  TextPart part("part");
  EXPECT_EQ(LoadOne(RecordOf("a", kWallMs - 60'001), &part).result, LoadResult::kTooOld);
  EXPECT_EQ(LoadOne(RecordOf("a", 0), &part).result, LoadResult::kTooOld);
  EXPECT_EQ(LoadOne(RecordOf("a", kWallMs - 60'000), &part).result, LoadResult::kLoaded);
}

// Clocks of two VMs differ a little; a clock that has jumped makes the record's age unknown.
TEST(LearnedState, DiscardsRecordsFromTheFuture) {
  TextPart part("part");
  constexpr int64_t kLatest = std::numeric_limits<int64_t>::max();
  EXPECT_EQ(LoadOne(RecordOf("a", kWallMs + 5001), &part).result, LoadResult::kFromFuture);
  EXPECT_EQ(LoadOne(RecordOf("a", kLatest), &part).result, LoadResult::kFromFuture);
  EXPECT_FALSE(part.loaded_age.has_value());
  EXPECT_EQ(LoadOne(RecordOf("a", kWallMs + 5000), &part).result, LoadResult::kLoaded);
  EXPECT_EQ(part.loaded_age, Duration::zero());
}

// A record of any size must not be parsed.
TEST(LearnedState, DiscardsTooLargeRecords) {
  TextPart part("part");
  const std::string large(kMaxRecordBytes, 'a');
  EXPECT_EQ(LoadOne(RecordOf(large, kWallMs), &part).result, LoadResult::kTooLarge);
}

// One unreadable record must not keep the other parts from being loaded.
TEST(LearnedState, LoadsTheOtherPartsBesideABadRecord) {
  TextPart bad("bad");
  TextPart good("good");
  LearnedState state({&bad, &good}, kStart);
  const auto outcomes = state.Load(
      {{"bad", "{"}, {"foreign", "{"}, {"good", RecordOf("a", kWallMs)}}, kWallMs, kStart);
  ASSERT_EQ(outcomes.size(), 2U);
  EXPECT_EQ(outcomes[0].result, LoadResult::kUnreadable);
  EXPECT_EQ(outcomes[1].result, LoadResult::kLoaded);
  EXPECT_EQ(good.text, "a");
  EXPECT_EQ(state.TakeCounts().dropped, 1);
}

// A part that is switched off must not overwrite what planners with that part have learned.
TEST(LearnedState, LeavesOutPartsWithoutMaximumAge) {
  TextPart off("off", Duration::zero());
  LearnedState state({&off}, kStart);
  EXPECT_TRUE(state.Load({{"off", RecordOf("a", kWallMs)}}, kWallMs, kStart).empty());
  off.text = "b";
  EXPECT_TRUE(state.TakeDue(kWallMs, kStart + seconds(60)).empty());
  EXPECT_TRUE(state.TakeLast(kWallMs, kStart + seconds(60)).empty());
}

// Rows beyond the limit would make the whole record too large to be written.
TEST(SavedRows, StayWithinTheLimit) {
  SavedRows saved(200);
  for (int row = 0; row < 50; ++row) saved.Add("row-" + std::to_string(row), {row, "text"});
  EXPECT_LE(nlohmann::json({{"queues", saved.rows()}}).dump().size(), 200U);
  EXPECT_GE(saved.rows().size(), 5U);
  EXPECT_TRUE(saved.rows().contains("row-0"));
}

}  // namespace
}  // namespace turmericshift::learned
