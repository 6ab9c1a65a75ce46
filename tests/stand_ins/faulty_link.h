// An agent port with simulated network faults, and a target that records each request it runs.
#pragma once

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <random>
#include <shared_mutex>
#include <string>

#include "core/thread_pool.h"
#include "servers/platform/target_service.h"
#include "servers/ports/agent_port.h"
#include "tests/stand_ins/request_history.h"

namespace turmericshift {

// Probabilities from 0 to 1 that a fault hits a message.
struct LinkFaults {
  // The request never arrives.
  double lost = 0;
  // The request arrives after its sender was told that the connection is lost.
  double late = 0;
  double duplicated = 0;
  double answer_lost = 0;
  // The answer of another request is returned instead.
  double swapped = 0;
  // Only the first half of the answer arrives.
  double truncated = 0;
  double delayed = 0;
  // The call hangs until the link is dropped or the call's timeout expires.
  double silent = 0;
};

// Bugs of the request path, injected to show that the history check detects them.
enum class InjectedBug { kNone, kRunsTwice, kSwapsAnswers, kFalseNotRun };

// Seeded random number generator that several threads share.
class SharedRandom {
 public:
  explicit SharedRandom(uint64_t seed) : random_(seed) {}
  bool Chance(double chance);
  int Below(int bound);

 private:
  std::mutex mutex_;
  std::mt19937_64 random_;
};

// An agent process as the network sees it: calls fail with a lost connection once it is killed.
struct AgentProcess {
  std::shared_mutex alive;
  std::atomic<bool> dead{false};
  AgentPort* agent = nullptr;
};

// Faults and random generator that all links of one test run share.
struct LinkState {
  explicit LinkState(uint64_t seed) : random(seed) {}
  LinkFaults faults() const;
  void SetFaults(const LinkFaults& faults);

  SharedRandom random;
  InjectedBug injected_bug = InjectedBug::kNone;
  mutable std::mutex mutex;
  LinkFaults current;
  ServiceAnswer previous_answer;
  // Delivers late requests. Declared last, so that its threads end before the state they use.
  ThreadPool late_deliveries{"late-mail", 16};
};

class FaultyLink : public AgentPort {
 public:
  FaultyLink(LinkState* link_state, std::shared_ptr<AgentProcess> agent_process)
      : link_state_(link_state), agent_process_(std::move(agent_process)) {}

  ServiceAnswer Serve(const ServiceRequest& request) override;
  void Cancel(const std::string& request_id) override;
  RequestStatusReply Resolve(const RequestStatusQuery& question, Duration timeout) override;
  void Drop() override;
  void Reserve(const GangReserve& /*reserve*/, Duration /*timeout*/) override {}
  void Start(const GangStart& /*start*/, Duration /*timeout*/) override {}
  void Release(const GangAction& /*action*/, Duration /*timeout*/) override {}
  void Renew(const GangAction& /*action*/, Duration /*timeout*/) override {}
  void Stop(const GangAction& /*action*/, Duration /*timeout*/) override {}
  void Forget(const GangAction& /*action*/, Duration /*timeout*/) override {}

 private:
  ServiceAnswer Deliver(const ServiceRequest& request);
  ServiceAnswer ApplyAnswerFaults(ServiceAnswer answer, const LinkFaults& faults);
  void DeliverLate(const ServiceRequest& request);
  void Hang(Duration limit);
  [[noreturn]] static void ThrowConnectionLost();

  LinkState* const link_state_;
  const std::shared_ptr<AgentProcess> agent_process_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool dropped_ = false;
};

// Probabilities from 0 to 1 that a request of the target fails this way.
struct TargetFaults {
  double refused = 0;
  double answer_lost = 0;
};

class CountingTarget : public TargetService {
 public:
  CountingTarget(std::string agent, RequestHistory* history, SharedRandom* random)
      : agent_(std::move(agent)), history_(history), random_(random) {}
  ServiceAnswer Perform(const ServiceRequest& request) override;
  // While the target is blocked, running requests do not end.
  void SetBlocked(bool blocked);
  void SetFaults(const TargetFaults& faults);
  int running() const;

 private:
  const std::string agent_;
  RequestHistory* const history_;
  SharedRandom* const random_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool blocked_ = false;
  int running_ = 0;
  TargetFaults faults_;
};

}  // namespace turmericshift
