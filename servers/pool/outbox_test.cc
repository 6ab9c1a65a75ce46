#include "servers/pool/outbox.h"

#include <gtest/gtest.h>

namespace turmericshift::pool {
namespace {

TEST(Outbox, SendsAllPendingRecordsInOneAppend) {
  Outbox outbox(1000);
  const Ticket first = outbox.Put("a", "1");
  const Ticket second = outbox.Put("b", "2");
  EXPECT_EQ(outbox.Take().size(), 2U);
  EXPECT_LT(outbox.durable(), first);
  outbox.MarkDurable();
  EXPECT_GE(outbox.durable(), second);
}

TEST(Outbox, SendsOnlyTheNewestValueOfAKey) {
  Outbox outbox(1000);
  outbox.Put("a", "1");
  const Ticket newest = outbox.Put("a", "2");
  const std::vector<KeyedRecord> records = outbox.Take();
  ASSERT_EQ(records.size(), 1U);
  EXPECT_EQ(records[0].value, "2");
  outbox.MarkDurable();
  EXPECT_GE(outbox.durable(), newest);
}

// Records queued while an append is in flight are not part of it. If their tickets counted as
// durable with the append, a caller would be told that a job is stored which no other entry knows.
TEST(Outbox, MarksOnlyTheAnsweredAppendAsDurable) {
  Outbox outbox(1000);
  outbox.Put("a", "1");
  outbox.Take();
  const Ticket later = outbox.Put("b", "2");
  outbox.MarkDurable();
  EXPECT_LT(outbox.durable(), later);
}

TEST(Outbox, SplitsRecordsThatExceedTheAppendLimit) {
  Outbox outbox(40);
  outbox.Put("a", std::string(20, 'x'));
  const Ticket second = outbox.Put("b", std::string(20, 'y'));
  EXPECT_EQ(outbox.Take().size(), 1U);
  outbox.MarkDurable();
  EXPECT_LT(outbox.durable(), second);
  EXPECT_EQ(outbox.Take().size(), 1U);
  outbox.MarkDurable();
  EXPECT_GE(outbox.durable(), second);
}

TEST(Outbox, WithdrawsOnlyRecordsThatWereNotSent) {
  Outbox outbox(1000);
  outbox.Put("a", "1");
  EXPECT_TRUE(outbox.Withdraw("a"));
  outbox.Put("b", "1");
  outbox.Take();
  EXPECT_FALSE(outbox.Withdraw("b"));
}

}  // namespace
}  // namespace turmericshift::pool
