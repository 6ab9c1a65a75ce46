#include "servers/pool/planner_service.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <future>
#include <memory>
#include <thread>

#include "core/error.h"
#include "modules/stand_ins/memory_keyed_log.h"
#include "platform/operator_records.h"
#include "servers/pool/local_planner_client.h"

namespace turmericshift::pool {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStuckAfter = milliseconds(20);
constexpr Duration kAnswerLimit = seconds(30);

// What one try of a caller was told.
class Told {
 public:
  std::function<void(Attempt<Done>)> Callback() {
    return [promise = promise_](Attempt<Done> attempt) { promise->set_value(std::move(attempt)); };
  }
  // The outcome of the error; kRan when the record is kept.
  Outcome Wait() {
    EXPECT_EQ(future_.wait_for(kAnswerLimit), std::future_status::ready) << "never answered";
    const Attempt<Done> attempt = future_.get();
    return attempt.error ? attempt.error->outcome() : Outcome::kRan;
  }

 private:
  std::shared_ptr<std::promise<Attempt<Done>>> promise_ =
      std::make_shared<std::promise<Attempt<Done>>>();
  std::future<Attempt<Done>> future_ = promise_->get_future();
};

class PlannerServiceTest : public testing::Test {
 protected:
  PlannerServiceTest() {
    service_.Begin(1, 1, JobTable(), {}, LeaseClock().Now());
    WaitForAppends(1);
  }

  static PlannerServiceOptions Options() {
    PlannerServiceOptions options;
    options.stuck_after = kStuckAfter;
    options.beat = milliseconds(5);
    return options;
  }

  static JobSpec Job(const std::string& id) {
    JobSpec spec;
    spec.id = id;
    spec.steps.emplace_back();
    return spec;
  }

  void WaitForAppends(int64_t more) const {
    const int64_t before = log_.appends();
    while (log_.appends() < before + more) std::this_thread::yield();
  }

  // The store turns the planner away. Returns when an append has been refused, so that whatever is
  // put next stays in the outbox.
  void LoseStore() {
    way_.SetFaults({true, false});
    const int64_t before = failures_.value();
    while (failures_.value() == before) std::this_thread::yield();
  }

  void RegainStore() {
    way_.SetFaults({});
    WaitForAppends(2);
  }

  bool Kept(const std::string& id) {
    const KeyedPage page = log_.Newest(kWorkTopic, "", seconds(1));
    return std::any_of(page.records.begin(), page.records.end(),
                       [&](const KeyedRecord& record) { return record.key == kSpecPrefix + id; });
  }

  // Whether the planner takes nothing in any more.
  bool RefusesCalls() {
    try {
      LocalPlannerClient(&service_).Cancel("nobody's", kAnswerLimit);
    } catch (const Error& error) {
      return error.kind() == ErrorKind::kConflict;
    }
    return false;
  }

  MemoryKeyedLog log_;
  FaultyKeyedLog way_{&log_};
  OperatorView operators_{&log_, std::make_unique<platform::OperatorRecords>()};
  MetricsRegistry metrics_;
  Counter& failures_ = metrics_.counter("store_append_failures");
  PlannerService service_{Options(), &way_, &operators_, &metrics_};
};

// A job that was withdrawn for its first try must not be reported as accepted to the second.
TEST_F(PlannerServiceTest, AnswersEveryTryOfAWithdrawnJobWithNotRun) {
  LoseStore();
  Told first;
  Told repeat;
  service_.Submit(Job("j"), first.Callback());
  service_.Submit(Job("j"), repeat.Callback());
  EXPECT_EQ(first.Wait(), Outcome::kNotRun);
  RegainStore();
  EXPECT_EQ(repeat.Wait(), Outcome::kNotRun);
  EXPECT_FALSE(Kept("j"));
}

// A withdrawn job that is sent again once the store is back must be taken in anew.
TEST_F(PlannerServiceTest, TakesAWithdrawnJobInAnew) {
  LoseStore();
  Told first;
  service_.Submit(Job("j"), first.Callback());
  EXPECT_EQ(first.Wait(), Outcome::kNotRun);
  RegainStore();
  Told again;
  service_.Submit(Job("j"), again.Callback());
  EXPECT_EQ(again.Wait(), Outcome::kRan);
  EXPECT_TRUE(Kept("j"));
}

// A job whose record has left may still be kept, so neither try may be told that it never runs.
TEST_F(PlannerServiceTest, AnswersEveryTryOfAJobThatHasLeftAlike) {
  way_.SetFaults({false, true});
  Told first;
  Told repeat;
  service_.Submit(Job("j"), first.Callback());
  while (!Kept("j")) std::this_thread::yield();
  service_.Submit(Job("j"), repeat.Callback());
  way_.SetFaults({});
  EXPECT_EQ(first.Wait(), Outcome::kRan);
  EXPECT_EQ(repeat.Wait(), Outcome::kRan);
}

// A duty that ends with records in the outbox must leave no try without an answer.
TEST_F(PlannerServiceTest, AnswersEveryTryWhenTheDutyEnds) {
  LoseStore();
  Told first;
  Told repeat;
  service_.Submit(Job("j"), first.Callback());
  service_.Submit(Job("j"), repeat.Callback());
  service_.End("test");
  EXPECT_NE(first.Wait(), Outcome::kRan);
  EXPECT_NE(repeat.Wait(), Outcome::kRan);
}

// A caller whose job is kept together with the planner's last record must not be told "unknown" at
// a planned stop.
TEST_F(PlannerServiceTest, AnswersWhatIsKeptWithItsLastRecord) {
  LoseStore();
  Told told;
  service_.Submit(Job("j"), told.Callback());
  Thread release("release", [this] { service_.Release(kAnswerLimit); });
  while (!RefusesCalls()) std::this_thread::yield();
  way_.SetFaults({});
  EXPECT_EQ(told.Wait(), Outcome::kRan);
  EXPECT_TRUE(Kept("j"));
  release.Join();
}

}  // namespace
}  // namespace turmericshift::pool
