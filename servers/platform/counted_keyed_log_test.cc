#include "servers/platform/counted_keyed_log.h"

#include <gtest/gtest.h>

#include "core/error.h"
#include "modules/stand_ins/memory_keyed_log.h"

namespace turmericshift {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(1);

// Guards against a load on the store whose origin can't be told from a process's metrics.
TEST(CountedKeyedLog, CountsCallsByOperationAndTopic) {
  MemoryKeyedLog store;
  MetricsRegistry metrics;
  CountedKeyedLog log(&store, &metrics);
  log.Append("keyed.work", {{"key", "value"}}, {}, kTimeout);
  log.Read("keyed.work", 0, Duration::zero(), kTimeout);
  log.Read("keyed.work", 0, Duration::zero(), kTimeout);
  log.Newest("keyed.members", "", kTimeout);
  EXPECT_EQ(metrics.counter("store_calls_append_keyed_work").value(), 1);
  EXPECT_EQ(metrics.counter("store_calls_read_keyed_work").value(), 2);
  EXPECT_EQ(metrics.counter("store_calls_newest_keyed_members").value(), 1);
}

// The store charges refused calls as well, so leaving them out would hide a flood of retries.
TEST(CountedKeyedLog, CountsRefusedCalls) {
  MemoryKeyedLog store;
  FaultyKeyedLog link(&store);
  link.SetFaults({true, false});
  MetricsRegistry metrics;
  CountedKeyedLog log(&link, &metrics);
  EXPECT_THROW(log.Append("keyed.work", {{"key", "value"}}, {}, kTimeout), Error);
  EXPECT_EQ(metrics.counter("store_calls_append_keyed_work").value(), 1);
}

}  // namespace
}  // namespace turmericshift
