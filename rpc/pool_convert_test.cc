#include "rpc/pool_convert.h"

#include <capnp/message.h>
#include <gtest/gtest.h>

namespace turmericshift {
namespace {

// A field that is written but not read, or the other way round, is lost without an error.
TEST(PoolConvert, KeepsTheAgeOfTheLists) {
  pool::AgentReport report;
  report.lists_age = std::chrono::milliseconds(1234);
  capnp::MallocMessageBuilder message;
  Write(report, message.initRoot<wire::PoolReport>());
  EXPECT_EQ(Read(message.getRoot<wire::PoolReport>().asReader()).lists_age,
            std::chrono::milliseconds(1234));
}

// Agents of a former version do not send the field during an upgrade.
TEST(PoolConvert, ReadsReportsOfAgentsThatDoNotReportTheAgeOfTheLists) {
  capnp::MallocMessageBuilder message;
  message.initRoot<wire::PoolReport>().initWorker().setId("i");
  const pool::AgentReport report = Read(message.getRoot<wire::PoolReport>().asReader());
  EXPECT_EQ(report.worker.id, "i");
  EXPECT_EQ(report.lists_age, Duration::zero());
}

}  // namespace
}  // namespace turmericshift
