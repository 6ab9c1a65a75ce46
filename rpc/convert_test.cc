#include "rpc/convert.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <gtest/gtest.h>

namespace turmericshift {
namespace {

Error Received(wire::Failure::Reader failure) {
  try {
    ThrowIfFailed(failure);
  } catch (const Error& error) {
    return error;
  }
  return {ErrorKind::kInternal, "no failure"};
}

// The caller of another entry than the planner's would be told to return at once.
TEST(Convert, FailureCarriesTheTimeToReturn) {
  Error sent(ErrorKind::kOverloaded, Outcome::kNotRun, "refused for load");
  sent.set_retry_after(std::chrono::milliseconds(4200));
  capnp::MallocMessageBuilder message;
  Write(sent, message.initRoot<wire::Failure>());
  const Error received = Received(message.getRoot<wire::Failure>().asReader());
  EXPECT_EQ(received.kind(), ErrorKind::kOverloaded);
  EXPECT_EQ(received.outcome(), Outcome::kNotRun);
  EXPECT_EQ(received.retry_after(), std::chrono::milliseconds(4200));
}

// Old peers have no such field, and other failures no such time; callers would be told to return
// after nothing, or in the past.
TEST(Convert, FailureWithoutATimeToReturn) {
  // Has the layout of Failure before the field was added: three texts.
  capnp::MallocMessageBuilder old_message;
  auto old_failure = old_message.initRoot<wire::EntryMember>();
  old_failure.setProcess("overloaded");
  old_failure.setZone("not_run");
  old_failure.setAddress("busy");
  capnp::SegmentArrayMessageReader old_reader(old_message.getSegmentsForOutput());
  const Error old_error = Received(old_reader.getRoot<wire::Failure>());
  EXPECT_EQ(old_error.kind(), ErrorKind::kOverloaded);
  EXPECT_STREQ(old_error.what(), "busy");
  EXPECT_FALSE(old_error.retry_after());

  capnp::MallocMessageBuilder message;
  Write(Error(ErrorKind::kNotFound, "no such job"), message.initRoot<wire::Failure>());
  EXPECT_FALSE(Received(message.getRoot<wire::Failure>().asReader()).retry_after());
  message.getRoot<wire::Failure>().setRetryAfterNanos(-5);
  EXPECT_FALSE(Received(message.getRoot<wire::Failure>().asReader()).retry_after());
}

// A former version must still understand the failures of this one.
TEST(Convert, OldPeersReadFailuresWithATimeToReturn) {
  Error sent(ErrorKind::kOverloaded, Outcome::kNotRun, "refused for load");
  sent.set_retry_after(std::chrono::seconds(4));
  capnp::MallocMessageBuilder message;
  Write(sent, message.initRoot<wire::Failure>());
  capnp::SegmentArrayMessageReader reader(message.getSegmentsForOutput());
  const auto old_failure = reader.getRoot<wire::EntryMember>();
  EXPECT_STREQ(old_failure.getProcess().cStr(), "overloaded");
  EXPECT_STREQ(old_failure.getAddress().cStr(), "refused for load");
}

}  // namespace
}  // namespace turmericshift
