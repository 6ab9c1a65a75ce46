#include <gtest/gtest.h>

#include <functional>

#include "core/http_server.h"
#include "modules/http_log/http_log_service.h"

namespace turmericshift {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(30);

ErrorKind KindOfFailure(const std::function<void()>& call) {
  try {
    call();
  } catch (const Error& error) {
    EXPECT_EQ(error.outcome(), Outcome::kUnknown);
    return error.kind();
  }
  ADD_FAILURE() << "the call did not fail";
  return ErrorKind::kInternal;
}

class HttpLogWrongAnswerTest : public testing::TestWithParam<const char*> {};

// A proxy answers in the log's place with JSON of another type. An exception that is no Error would
// end the threads that read and write the log.
TEST_P(HttpLogWrongAnswerTest, CallFailsAsUnavailable) {
  HttpServer server({}, [](const HttpRequest&) { return JsonResponse(GetParam()); });
  HttpLogService log("http://127.0.0.1:" + std::to_string(server.port()));
  EXPECT_EQ(KindOfFailure([&] { log.Append("members", "x", kTimeout); }),
            ErrorKind::kLogUnavailable);
  EXPECT_EQ(KindOfFailure([&] { log.FirstKept("members", kTimeout); }), ErrorKind::kLogUnavailable);
  EXPECT_EQ(KindOfFailure([&] { log.Read("members", 0, Duration::zero(), kTimeout); }),
            ErrorKind::kLogUnavailable);
}

INSTANTIATE_TEST_SUITE_P(Answers, HttpLogWrongAnswerTest,
                         testing::Values("[]", "7", "null", R"({"offset":"x","first_kept":"x"})",
                                         R"({"entries":[]})"));

}  // namespace
}  // namespace turmericshift
