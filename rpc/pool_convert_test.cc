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

// A planner that does not learn that a report leaves out ends starts their tasks again.
TEST(PoolConvert, KeepsWhetherAReportLeavesOutEnds) {
  for (const bool more_ends : {false, true}) {
    pool::AgentReport report;
    report.ended.resize(200);
    report.more_ends = more_ends;
    capnp::MallocMessageBuilder message;
    Write(report, message.initRoot<wire::PoolReport>());
    EXPECT_EQ(Read(message.getRoot<wire::PoolReport>().asReader()).more_ends, more_ends);
  }
}

// Agents of a former version cut their reports at 200 ends without telling.
TEST(PoolConvert, ExpectsFurtherEndsAfterAFullReportOfAFormerVersion) {
  capnp::MallocMessageBuilder message;
  auto report = message.initRoot<wire::PoolReport>();
  for (auto ended : report.initEnded(199)) ended.setKind("done");
  EXPECT_FALSE(Read(report.asReader()).more_ends);
  for (auto ended : report.initEnded(200)) ended.setKind("done");
  EXPECT_TRUE(Read(report.asReader()).more_ends);
}

}  // namespace
}  // namespace turmericshift
