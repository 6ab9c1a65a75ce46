// Uses the coordination parts on their own: two operators race to publish the first document, and
// the log's order decides, the same way for both.
#include <cstdio>

#include "core/digest.h"
#include "modules/stand_ins/memory_log.h"
#include "servers/state/replicated_config.h"
#include "servers/state/stream_client.h"

namespace ts = turmericshift;

namespace {

constexpr ts::Duration kTimeout = std::chrono::seconds(5);
constexpr const char* kDocument =
    "[environment]\ndeployment = embedded\n"
    "[availability_zone a]\nstate = in\nworkers = 1\nworkers_per_rack = 1\n"
    "processors_per_worker = 8\nmemory_per_worker = 16GiB\naccelerators_per_worker = 4\n";

ts::ConfigPublished FirstVersion(const std::string& author) {
  ts::ConfigPublished record;
  record.id = ts::NewRecordId();
  record.version = 1;
  record.text = kDocument;
  record.digest = ts::Digest(record.text);
  record.author = author;
  return record;
}

}  // namespace

int main() {
  ts::MemoryLog log;  // in production a client of the platform's log, a plug-in of a page
  ts::MetricsRegistry metrics;
  ts::ReplicatedConfig first_config;
  ts::ReplicatedConfig second_config;
  ts::StreamClient first(ts::Stream::kConfig, &log, &first_config, &metrics);
  ts::StreamClient second(ts::Stream::kConfig, &log, &second_config, &metrics);
  const ts::WriteResult won = first.Write(FirstVersion("ilona"), kTimeout);
  const ts::WriteResult lost = second.Write(FirstVersion("ewan"), kTimeout);
  std::printf("ilona: %s; ewan: %s\n", won.verdict.accepted ? "accepted" : "refused",
              lost.verdict.reason.c_str());
  const bool agree = first_config.current()->author == second_config.current()->author;
  return won.verdict.accepted && !lost.verdict.accepted && agree ? 0 : 1;
}
