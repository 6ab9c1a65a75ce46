// What a caller hears of its job from an entry that does not plan the job's zone.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <thread>

#include "core/digest.h"
#include "core/http_client.h"
#include "core/secret.h"
#include "main/dev_cluster.h"
#include "main/register_modules.h"

namespace turmericshift {
namespace {

constexpr Duration kLimit = std::chrono::seconds(20);
constexpr Duration kLookPause = std::chrono::milliseconds(20);

std::string Document(const std::string& token) {
  std::string text = "[environment]\ndeployment = test\n";
  for (const char* zone : {"a", "b"}) {
    text += std::string("[availability_zone ") + zone +
            "]\nstate = in\nworkers = 1\nworkers_per_rack = 1\nprocessors_per_worker = 8\n"
            "memory_per_worker = 8GiB\naccelerators_per_worker = 8\n";
  }
  return text + "[workspace boxes]\ntoken_hashes = " + HashToken(token) +
         "\nguarantee = 1 half\naccelerator_cap = 16\n";
}

// A parent's app asks whichever entry the balancer picks. It must hear that the plan runs, or what
// it waits for, also where another entry plans the zone.
TEST(JobShowTest, EveryEntryKnowsWhetherAJobRunsAndWhyItWaits) {
  RegisterModules();
  const std::string token = "secret";
  DevOptions options;
  options.environment_text = Document(token);
  options.log_over_http = false;
  DevCluster cluster(options);
  ConfigPublished first;
  first.id = NewRecordId();
  first.version = 1;
  first.text = options.environment_text;
  first.digest = Digest(first.text);
  cluster.log().Append("config", EncodeRecords({first}), {});
  for (const char* key : {"running", "waiting"}) {
    JobSubmitted job;
    job.id = NewRecordId();
    job.spec.key = key;
    job.spec.workspace = "boxes";
    job.spec.shape = {1, int64_t{1} << 30, 8};
    job.spec.zones = {"a"};
    job.spec.payload = "600s";
    job.zone = "a";
    cluster.log().Append("jobs", EncodeRecords({job}), {});
  }
  const auto show = [&](size_t entry, const std::string& key) {
    const HttpReply reply = PerformHttp({"GET",
                                         cluster.CallerUrl(entry) + "/v1/jobs/" + key,
                                         {{"Authorization", "Bearer " + token}},
                                         ""});
    return nlohmann::json::parse(reply.body, nullptr, false);
  };
  const Time limit = DefaultClock().Now() + kLimit;
  const auto told = [&](size_t entry) {
    const nlohmann::json running = show(entry, "running");
    const nlohmann::json waiting = show(entry, "waiting");
    const std::string why = waiting.value("waiting_for", "");
    return running.value("state", "") == "running" && why.find("no room") != std::string::npos;
  };
  for (size_t entry = 0; entry < cluster.entry_count(); ++entry) {
    while (!told(entry)) {
      ASSERT_LT(DefaultClock().Now(), limit)
          << entry << ": " << show(entry, "running") << " " << show(entry, "waiting");
      std::this_thread::sleep_for(kLookPause);
    }
  }
}

}  // namespace
}  // namespace turmericshift
