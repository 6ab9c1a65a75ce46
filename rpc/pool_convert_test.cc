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

// The same fault with the version would hide every release.
TEST(PoolConvert, KeepsTheVersionOfTheWorker) {
  pool::AgentReport report;
  report.worker.version = "2.1";
  capnp::MallocMessageBuilder message;
  Write(report, message.initRoot<wire::PoolReport>());
  EXPECT_EQ(Read(message.getRoot<wire::PoolReport>().asReader()).worker.version, "2.1");
}

// Agents of a former version do not send these fields during an upgrade.
TEST(PoolConvert, ReadsReportsOfAgentsOfAFormerVersion) {
  capnp::MallocMessageBuilder message;
  message.initRoot<wire::PoolReport>().initWorker().setId("i");
  const pool::AgentReport report = Read(message.getRoot<wire::PoolReport>().asReader());
  EXPECT_EQ(report.worker.id, "i");
  EXPECT_EQ(report.lists_age, Duration::zero());
  EXPECT_EQ(report.worker.version, "");
}

}  // namespace
}  // namespace turmericshift
