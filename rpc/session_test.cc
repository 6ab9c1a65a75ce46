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

auto SendCancel(Session* session) {
  return session->Bootstrap().castAs<wire::PoolGate>().cancelRequest().send();
}

// The peer has disconnected, and other threads queue calls while the session ends. If these calls
// ran after the connection had been destroyed, the process would crash, and a worker would be
// without its agent until the agent had restarted.
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
        session->Call([&] { return SendCancel(session.get()).ignoreResult(); }, kTimeout);
      } catch (const Error& error) {
        EXPECT_EQ(error.kind(), ErrorKind::kConnectionLost) << error.what();
        failed.fetch_add(1);
      }
    }
  };
  // Runs on the session's loop when the connection is destroyed.
  const auto on_disconnected = [&](kj::Exception&& exception) -> kj::Promise<void> {
    constexpr int kCallers = 4;
    for (int i = 0; i < kCallers; ++i) callers.emplace_back("caller", call_again);
    while (entered.load() < kCallers) std::this_thread::yield();
    return kj::mv(exception);
  };
  const auto first = [&] {
    return SendCancel(session.get()).ignoreResult().catch_(on_disconnected);
  };
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

// Calls the gate until the session ends, then releases the peer's capability, as an agent does.
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

// An entry closes its session while the agent's heartbeat is in flight. If the agent's thread
// waited forever for the loop that had ended, the agent would not terminate on SIGTERM.
TEST(Session, ReleasesCapabilitiesWhileItEnds) {
  constexpr int kRounds = 500;
  constexpr int kMaxCalls = 20;
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
    while (calls.load() <= round % kMaxCalls) std::this_thread::yield();
    entry->Close();
    entry->WaitClosed();
    caller.Join();
  }
}

}  // namespace
}  // namespace turmericshift
