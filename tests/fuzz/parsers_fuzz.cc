// Feeds the parsers of everything that strangers write: the first byte chooses the parser. A
// refusal is an Error; anything else that leaves a parser is a fault.
#include <cstddef>
#include <cstdint>
#include <string>

#include "core/error.h"
#include "servers/config/environment.h"
#include "servers/jobs/job.h"
#include "servers/replay/trace.h"
#include "servers/state/record.h"

namespace turmericshift {
namespace {

void ParseOne(uint8_t parser, const std::string& text) {
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

// The name is libFuzzer's.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {  // NOLINT
  if (size == 0) return 0;
  try {
    turmericshift::ParseOne(data[0],
                            std::string(reinterpret_cast<const char*>(data + 1), size - 1));
  } catch (const turmericshift::Error&) {
    // The answer that bad input should get.
  }
  return 0;
}
