// Fuzzes all parsers of untrusted input; the first byte selects the parser. A parser rejects bad
// input with an Error; any other exception or crash is a bug.
#include <cstddef>
#include <cstdint>
#include <string>

#include "core/error.h"
#include "platform/http_caller_endpoint.h"
#include "platform/operator_record_decoder.h"
#include "platform/store_client.h"
#include "platform/worker_announcement_handler.h"
#include "platform/worker_client.h"
#include "servers/config/environment.h"
#include "servers/jobs/job.h"
#include "servers/pool/job_records.h"
#include "servers/replay/trace.h"
#include "servers/state/record.h"

namespace turmericshift {
namespace {

// Number of cases of ParsePlatform. The last case has two parsers, between which
// `parser / kPlatformParsers` chooses.
constexpr uint8_t kPlatformParsers = 8;

// Parses input from the users' platform and from the store.
void ParsePlatform(uint8_t parser, const std::string& text) {
  pool::JobSpec spec;
  pool::OperatorState state;
  switch (parser % kPlatformParsers) {
    case 0:
      platform::DecodeJob(text, &spec);
      break;
    case 1:
      platform::OperatorRecordDecoder().Apply({"config", text, 1}, &state);
      break;
    case 2:
      platform::DecodeAnnouncement("i-1", text);
      break;
    case 3:
      platform::DecodeLists(text);
      break;
    case 4:
      platform::DecodeRead(text, 0);
      break;
    case 5:
      pool::DecodeSpec("id", text);
      break;
    case 6:
      pool::DecodeProgress(text);
      break;
    default:
      if (parser / kPlatformParsers % 2 == 1) {
        pool::DecodeEntry(text);
      } else {
        pool::DecodePlanner(text);
      }
      break;
  }
}

// First bytes from this value on select a parser of ParsePlatform.
constexpr uint8_t kFirstPlatformParser = 128;

void ParseInput(uint8_t parser, const std::string& text) {
  if (parser >= kFirstPlatformParser) return ParsePlatform(parser - kFirstPlatformParser, text);
  switch (parser % 5) {
    case 0:
      ParseEnvironment("fuzz", text);
      break;
    case 1:
      ParseJobSpec(text);
      break;
    case 2:
      DecodeRecords(text);
      break;
    case 4:
      ParseTrace("fuzz", text);
      break;
    default:
      WithZoneState(text, "a", false);
      break;
  }
}

}  // namespace
}  // namespace turmericshift

// libFuzzer requires this name.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {  // NOLINT
  if (size == 0) return 0;
  try {
    turmericshift::ParseInput(data[0],
                              std::string(reinterpret_cast<const char*>(data + 1), size - 1));
  } catch (const turmericshift::Error&) {
    // Bad input must be rejected with an Error.
  }
  return 0;
}
