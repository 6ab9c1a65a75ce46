// Tests that records of other writers, which may contain anything, end no process and hide no other
// record.
#include <gtest/gtest.h>

#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "core/error.h"
#include "core/thread.h"
#include "modules/stand_ins/memory_keyed_log.h"
#include "platform/operator_record_decoder.h"
#include "servers/pool/job_records.h"
#include "servers/pool/pool_view.h"

namespace turmericshift::pool {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(1);

std::string NestedLists() {
  constexpr size_t kDepth = 60'000;
  return std::string(kDepth, '[') + std::string(kDepth, ']');
}

std::string PlannerWith(const std::string& epoch, const std::string& address,
                        const std::string& more) {
  return R"({"epoch":)" + epoch + R"(,"node":"n","address":)" + address + more + "}";
}

// Values that no process of this program writes.
std::vector<std::string> ForeignValues() {
  const std::string address = R"("127.0.0.1:9")";
  const std::string nested = NestedLists();
  std::vector<std::string> values = {nested,
                                     "{",
                                     "null",
                                     "[]",
                                     "7",
                                     "\"text\"",
                                     "{}",
                                     "\xff\xfe\x00\x01",
                                     "{\"node\":\"\xff\"}",
                                     PlannerWith("1e999", address, ""),
                                     PlannerWith("1e300", address, ""),
                                     PlannerWith("123456789012345678901234567890", address, ""),
                                     PlannerWith("4611686018427387904", address, ""),
                                     PlannerWith("-1", address, ""),
                                     PlannerWith("1.5", address, ""),
                                     PlannerWith("\"1\"", address, ""),
                                     PlannerWith("16384", "7", ""),
                                     PlannerWith("16384", R"("127.0.0.1:99999")", ""),
                                     PlannerWith("16384", R"("127.0.0.1")", ""),
                                     PlannerWith("16384", R"("127.0.0.1:-1")", ""),
                                     PlannerWith("16384", nested, ""),
                                     PlannerWith(nested, address, "")};
  for (const char* field : {"former", "relays", "done", "failures", "checkpoints", "steps", "terms",
                            "state", "queue", "after", "planning_capacity", "zone"}) {
    const std::string name = std::string(R"(,")") + field + R"(":)";
    for (const std::string& value : {nested, std::string("[7]"), std::string("1e999"),
                                     std::string("{}"), "[" + nested + "]"}) {
      values.push_back(PlannerWith("16384", address, R"(,"state":"running")" + name + value));
    }
  }
  return values;
}

// Decodes `value` with `decode` on a thread like those of the followers and ends the process; any
// end but this one is a crash.
template <typename Decode>
[[noreturn]] void DecodeAndExit(const std::string& value, Decode&& decode) {
  Thread follower("follow", [&] {
    try {
      decode(value);
    } catch (const Error&) {
      // Refused.
    }
  });
  follower.Join();
  std::_Exit(0);
}

// Guards against processes that end, and end again after each restart, because of one record.
TEST(ForeignRecords, EndNoProcessThatDecodesThem) {
  testing::FLAGS_gtest_death_test_style = "fast";
  for (const std::string& value : ForeignValues()) {
    const auto expect_no_crash = [&](const char* what, auto&& decode) {
      EXPECT_EXIT(DecodeAndExit(value, decode), testing::ExitedWithCode(0), "")
          << what << ": " << value.substr(0, 200);
    };
    expect_no_crash("planner", [](const std::string& bytes) { DecodePlanner(bytes); });
    expect_no_crash("entry", [](const std::string& bytes) { DecodeEntry(bytes); });
    expect_no_crash("job", [](const std::string& bytes) { DecodeSpec("j", bytes); });
    expect_no_crash("progress", [](const std::string& bytes) { DecodeProgress(bytes); });
  }
}

}  // namespace
}  // namespace turmericshift::pool
