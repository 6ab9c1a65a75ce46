// Sends concurrent requests through several entries and agents under faults, and checks the
// recorded history. REQUEST_HISTORY_SEED=N replays one seed.
#include <gtest/gtest.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <thread>
#include <vector>

#include "core/thread.h"
#include "tests/stand_ins/request_cluster.h"

namespace turmericshift {
namespace {

constexpr int kCallers = 6;
constexpr size_t kMaxCallers = 20;
constexpr int kRequestsPerCaller = 30;
constexpr int kAttemptsPerRequest = 6;
constexpr Duration kCallTimeout = std::chrono::milliseconds(800);

// Every other request must not run twice; its caller repeats it with the same key, at random
// entries, until it is answered.
void CallOne(RequestCluster* cluster, int caller, int number) {
  const std::string name = std::to_string(caller) + "-" + std::to_string(number);
  const std::string key = number % 2 == 0 ? "key-" + name : "";
  const std::string body = "body-" + name;
  for (int attempt = 0; attempt < kAttemptsPerRequest; ++attempt) {
    const size_t entry = static_cast<size_t>(
        cluster->link_state().random.Below(static_cast<int>(cluster->entries())));
    const AnswerEvent event = cluster->Call(entry, key, body, kCallTimeout);
    if (event.answered || key.empty()) return;
  }
}

// Pairs of callers send the same key concurrently, like an app whose user taps twice.
void RunCallers(RequestCluster* cluster) {
  std::vector<Thread> callers;
  callers.reserve(kMaxCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back("caller", [cluster, caller] {
      for (int number = 0; number < kRequestsPerCaller; ++number) {
        CallOne(cluster, caller / 2, number + (caller % 2) * (number % 2) * kRequestsPerCaller);
      }
    });
  }
}

// Injects one fault after another until `stop` is set.
void InjectFaults(RequestCluster* cluster, const std::atomic<bool>* stop) {
  SharedRandom& random = cluster->link_state().random;
  while (!stop->load()) {
    const auto entry = static_cast<size_t>(random.Below(static_cast<int>(cluster->entries())));
    const auto agent = static_cast<size_t>(random.Below(static_cast<int>(cluster->agents())));
    LogFaults faults;
    switch (random.Below(6)) {
      case 0:
        cluster->ReplaceEntry(entry);
        break;
      case 1:
        cluster->RestartAgent(agent, false);
        break;
      case 2:
        cluster->RestartAgent(agent, true);
        break;
      case 3:
        faults.appends_fail = true;
        break;
      case 4:
        faults.append_answers_lost = true;
        break;
      default:
        faults.reads_fail = true;
    }
    cluster->log().SetFaults(faults);
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
    cluster->log().SetFaults({});
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
  }
}

LinkFaults EveryFault() {
  LinkFaults faults;
  faults.lost = 0.04;
  faults.late = 0.04;
  faults.duplicated = 0.08;
  faults.answer_lost = 0.06;
  faults.swapped = 0.04;
  faults.truncated = 0.04;
  faults.delayed = 0.2;
  faults.silent = 0.01;
  return faults;
}

std::vector<uint64_t> Seeds() {
  const char* chosen = std::getenv("REQUEST_HISTORY_SEED");
  if (chosen != nullptr) return {std::stoull(chosen)};
  return {11, 12, 13};
}

void ExpectNoViolations(const RequestHistory& history, uint64_t seed) {
  const std::vector<std::string> violations = history.Violations();
  for (const std::string& violation : violations) {
    ADD_FAILURE() << "seed " << seed << ": " << violation;
  }
  if (!violations.empty()) std::fputs(history.JsonLines().c_str(), stderr);
}

// Messages are lost, late, duplicated, swapped and truncated, entries and agents restart, and the
// log fails in three ways. Errors would charge a user twice, return another user's answer, or run
// an order that was reported as not run.
TEST(RequestHistoryTest, NoDuplicateRunsOrSwappedAnswersUnderFaults) {
  for (const uint64_t seed : Seeds()) {
    std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
    RequestCluster cluster(3, 4, seed);
    cluster.link_state().SetFaults(EveryFault());
    for (size_t agent = 0; agent < cluster.agents(); ++agent) {
      cluster.agent(agent).target->SetFaults({0.03, 0.03});
    }
    std::atomic<bool> stop{false};
    Thread fault_injector("chaos", [&] { InjectFaults(&cluster, &stop); });
    RunCallers(&cluster);
    stop.store(true);
    fault_injector.Join();
    ExpectNoViolations(cluster.history(), seed);
    // Most of the 180 requests must be answered, or the check would prove nothing.
    EXPECT_GT(cluster.history().answered(), 90U) << "seed " << seed;
  }
}

// Operators replace all agents and entries one after another by planned stops, which must not
// interrupt any request.
TEST(RequestHistoryTest, RollingRestartInterruptsNoRequest) {
  RequestCluster cluster(3, 4, 21);
  std::atomic<bool> rolled{false};
  std::atomic<int> refused{0};
  // The balancer sends nothing to an entry that is leaving or not ready.
  std::atomic<size_t> out{cluster.entries()};
  std::vector<Thread> callers;
  callers.reserve(kMaxCallers);
  for (int caller = 0; caller < 4; ++caller) {
    callers.emplace_back("caller", [&, caller] {
      for (int number = 0; !rolled.load(); ++number) {
        const std::string name = std::to_string(caller) + "-" + std::to_string(number);
        const size_t entry = static_cast<size_t>(number) % cluster.entries();
        if (entry == out.load()) continue;
        const AnswerEvent event =
            cluster.Call(entry, number % 4 == 0 ? name : "", name, std::chrono::seconds(10));
        if (event.answered) continue;
        ADD_FAILURE() << event.error;
        refused.fetch_add(1);
      }
    });
  }
  for (size_t agent = 0; agent < cluster.agents(); ++agent) {
    cluster.RestartAgent(agent, true);
    cluster.WaitForSessions();
  }
  for (size_t entry = 0; entry < cluster.entries(); ++entry) {
    out.store(entry);
    cluster.ReplaceEntry(entry);
    cluster.WaitForSessions();
  }
  rolled.store(true);
  callers.clear();
  EXPECT_EQ(refused.load(), 0);
  ExpectNoViolations(cluster.history(), 21);
}

size_t ViolationCountWith(InjectedBug injected_bug) {
  RequestCluster cluster(2, 2, 31);
  cluster.link_state().injected_bug = injected_bug;
  for (int number = 0; number < 6; ++number) {
    cluster.Call(0, "", "body-" + std::to_string(number), kCallTimeout);
  }
  return cluster.history().Violations().size();
}

TEST(RequestHistoryTest, CheckDetectsInjectedBugs) {
  EXPECT_EQ(ViolationCountWith(InjectedBug::kNone), 0U);
  EXPECT_GT(ViolationCountWith(InjectedBug::kRunsTwice), 0U);
  EXPECT_GT(ViolationCountWith(InjectedBug::kSwapsAnswers), 0U);
  EXPECT_GT(ViolationCountWith(InjectedBug::kFalseNotRun), 0U);
}

}  // namespace
}  // namespace turmericshift
