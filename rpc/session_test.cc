#include "rpc/session.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <thread>
#include <vector>

#include "core/thread.h"
#include "rpc/generated/peer.capnp.h"
#include "rpc/generated/pool.capnp.h"

namespace turmericshift {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(60);

auto Ask(Session* session) {
  return session->Bootstrap().castAs<wire::PoolGate>().cancelRequest().send();
}

// The peer is gone, and while the session takes leave of it, calls of other threads are queued for
// its loop. They were run once more after the connection had been dropped, and the process crashed;
// an agent's worker was then without its agent until it had been started again.
TEST(Session, FailsCallsThatComeWhileItEnds) {
  std::array<int, 2> ends{};
  ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()), 0);
  const std::shared_ptr<Session> session =
      Session::Open(ends[0], Session::Side::kConnecting, "session", nullptr);
  std::atomic<int> entered{0};
  std::atomic<int> failed{0};
  std::vector<Thread> callers;
  const auto call_again = [&] {
    constexpr int kCalls = 100;
    for (int i = 0; i < kCalls; ++i) {
      entered.fetch_add(1);
      try {
        session->Call([&] { return Ask(session.get()).ignoreResult(); }, kTimeout);
      } catch (const Error& error) {
        EXPECT_EQ(error.kind(), ErrorKind::kConnectionLost) << error.what();
        failed.fetch_add(1);
      }
    }
  };
  // Runs on the session's loop once the connection has been dropped.
  const auto on_dropped = [&](kj::Exception&& exception) -> kj::Promise<void> {
    constexpr int kCallers = 4;
    for (int i = 0; i < kCallers; ++i) callers.emplace_back("caller", call_again);
    while (entered.load() < kCallers) std::this_thread::yield();
    return kj::mv(exception);
  };
  const auto first = [&] { return Ask(session.get()).ignoreResult().catch_(on_dropped); };
  Thread waiter("waiter", [&] {
    try {
      session->Call(first, kTimeout);
    } catch (const Error& error) {
      EXPECT_EQ(error.kind(), ErrorKind::kConnectionLost) << error.what();
      failed.fetch_add(1);
    }
  });
  close(ends[1]);
  waiter.Join();
  session->WaitClosed();
  for (Thread& caller : callers) caller.Join();
  EXPECT_EQ(failed.load(), entered.load() + 1);
}

class CountingGate final : public wire::Gate::Server {
 public:
  explicit CountingGate(std::atomic<int>* calls) : calls_(calls) {}
  kj::Promise<void> challenge(ChallengeContext context) override {
    context.getResults().setNonce("nonce");
    calls_->fetch_add(1);
    return kj::READY_NOW;
  }

 private:
  std::atomic<int>* const calls_;
};

// Calls the gate until the session ends, and drops what the peer gave, as an agent does.
void CallUntilLost(Session* session) {
  using Client = wire::Gate::Client;
  std::unique_ptr<Client> client;
  try {
    client = session->Call(
        [session] {
          return kj::Promise<std::unique_ptr<Client>>(
              std::make_unique<Client>(session->Bootstrap().castAs<wire::Gate>()));
        },
        kTimeout);
    while (true) {
      session->Call([&client] { return client->challengeRequest().send().ignoreResult(); },
                    kTimeout);
    }
  } catch (const Error& error) {
    EXPECT_EQ(error.kind(), ErrorKind::kConnectionLost) << error.what();
  }
  if (client) session->Release(std::move(client));
  session->Close();
  session->WaitClosed();
}

// An entry closes its session while the agent's heartbeat is under way: the agent's thread waited
// for good for the loop that ended under it, and the agent did not end on SIGTERM.
TEST(Session, DropsWhatThePeerGaveWhileItEnds) {
  constexpr int kRounds = 500;
  constexpr int kMostCalls = 20;
  for (int round = 0; round < kRounds; ++round) {
    std::array<int, 2> ends{};
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()), 0);
    std::atomic<int> calls{0};
    const auto make_gate = [&calls](Session* session) -> capnp::Capability::Client {
      session->Admit();
      return kj::heap<CountingGate>(&calls);
    };
    const auto entry = Session::Open(ends[0], Session::Side::kAccepting, "entry", make_gate);
    const auto agent = Session::Open(ends[1], Session::Side::kConnecting, "agent", nullptr);
    Thread caller("caller", [&agent] { CallUntilLost(agent.get()); });
    while (calls.load() <= round % kMostCalls) std::this_thread::yield();
    entry->Close();
    entry->WaitClosed();
    caller.Join();
  }
}

}  // namespace
}  // namespace turmericshift
